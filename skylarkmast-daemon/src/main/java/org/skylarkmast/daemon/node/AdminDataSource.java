package org.skylarkmast.daemon.node;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.skylarkmast.core.config.Configuration;
import org.skylarkmast.core.config.Target;
import org.skylarkmast.core.key.ProgramKey;
import org.skylarkmast.core.ownership.OwnerLocation;
import org.skylarkmast.core.ownership.SessionRecord;
import org.skylarkmast.core.program.CallerEvent;
import org.skylarkmast.core.program.Message;
import org.skylarkmast.core.program.ProgramSummary;
import org.skylarkmast.core.scheduling.CallScheduler;
import org.skylarkmast.core.scheduling.RunnerStatus;
import org.skylarkmast.daemon.admin.HistorySource;
import org.skylarkmast.daemon.admin.ProgramSource;
import org.skylarkmast.daemon.admin.StatusSource;
import org.skylarkmast.daemon.dispatch.CallDispatcher;
import org.skylarkmast.daemon.partition.PartitionRegistry;
import org.skylarkmast.daemon.settings.Settings;

/**
 * Supplies the administration port with data of this node. Thread-safe; a call blocks until the
 * event loops answer, at most for the answer timeout of each.
 */
final class AdminDataSource implements StatusSource, ProgramSource, HistorySource {

    /** Time allowed for an event loop to answer; after it, its data is reported as empty. */
    private static final long ANSWER_TIMEOUT_MS = 2_000;

    private final Settings settings;
    private final OwnershipComponents ownership;
    private final PartitionRegistry registry;
    private final CallDispatcher dispatch;
    private final Supplier<Configuration> configuration;
    private final BooleanSupplier ready;
    private final BooleanSupplier draining;

    /**
     * @param ready whether the node accepts callers' requests
     */
    AdminDataSource(
            Settings settings,
            OwnershipComponents ownership,
            PartitionRegistry registry,
            CallDispatcher dispatch,
            Supplier<Configuration> configuration,
            BooleanSupplier ready,
            BooleanSupplier draining) {
        this.settings = settings;
        this.ownership = ownership;
        this.registry = registry;
        this.dispatch = dispatch;
        this.configuration = configuration;
        this.ready = ready;
        this.draining = draining;
    }

    @Override
    public NodeStatus status() {
        CompletableFuture<SchedulerSnapshot> schedulerSnapshot = new CompletableFuture<>();
        dispatch.query(scheduler -> schedulerSnapshot.complete(snapshotOf(scheduler)));
        SchedulerSnapshot snapshot =
                awaitOrDefault(schedulerSnapshot, new SchedulerSnapshot(0, List.of()));
        Configuration current = configuration.get();
        int inFlight = snapshot.runners().stream().mapToInt(RunnerStatus::inFlight).sum();
        return new NodeStatus(
                settings.node().name(),
                ownership.session.incarnation().orElse(""),
                settings.failureDomain(),
                ready.getAsBoolean(),
                draining.getAsBoolean(),
                ownership.session.leaseValidAt(System.nanoTime()),
                current.revision(),
                registry.ownedPartitions().size(),
                awaitOrDefault(registry.programs(), List.of()).size(),
                inFlight,
                snapshot.queued(),
                members(),
                runners(current, snapshot.runners()));
    }

    @Override
    public List<ProgramRow> programs(String workspace, int limit) {
        return awaitOrDefault(registry.programs(), List.<ProgramSummary>of()).stream()
                .filter(program -> program.root().workspace().equals(workspace))
                .limit(limit)
                .map(AdminDataSource::row)
                .toList();
    }

    @Override
    public HistoryOutcome history(String workspace, String id) {
        ProgramKey root = new ProgramKey(workspace, id).root();
        Optional<CompletableFuture<List<CallerEvent.ProgramRead>>> histories =
                registry.histories(root);
        if (histories.isEmpty()) {
            return new HistoryOutcome.OwnedElsewhere(
                    ownership
                            .service
                            .ownerOf(root.partition())
                            .map(OwnerLocation::node)
                            .orElse(""));
        }
        List<HistoryRow> rows = new ArrayList<>();
        for (CallerEvent.ProgramRead agent : awaitOrDefault(histories.get(), List.of())) {
            int turn = 1;
            for (Message message : agent.history()) {
                rows.add(
                        new HistoryRow(
                                turn, agent.program().id(), message.role(), message.content()));
                turn += message.role().equals("assistant") ? 1 : 0;
            }
        }
        return rows.isEmpty() ? new HistoryOutcome.Absent() : new HistoryOutcome.Found(rows);
    }

    private record SchedulerSnapshot(int queued, List<RunnerStatus> runners) {}

    private static SchedulerSnapshot snapshotOf(CallScheduler scheduler) {
        return new SchedulerSnapshot(
                scheduler.queued(), scheduler.runnerStatuses(System.nanoTime()));
    }

    private static ProgramRow row(ProgramSummary program) {
        return new ProgramRow(
                program.root().workspace(),
                program.root().id(),
                program.template(),
                "ACTIVE",
                program.root().partition(),
                program.turns(),
                program.spentTokens(),
                program.grantedTokens(),
                program.serviceCalls(),
                TimeUnit.NANOSECONDS.toMillis(program.idleNs()));
    }

    private static List<RunnerRow> runners(Configuration current, List<RunnerStatus> statuses) {
        Map<String, RunnerStatus> byName =
                statuses.stream().collect(Collectors.toMap(RunnerStatus::runner, status -> status));
        List<RunnerRow> rows = new ArrayList<>();
        for (Target target : current.targets().values()) {
            for (Target.Runner runner : target.runners()) {
                RunnerStatus status = byName.get(runner.name());
                rows.add(
                        new RunnerRow(
                                target.name(),
                                runner.name(),
                                runner.failureDomain(),
                                status == null ? "UNKNOWN" : status.health().name(),
                                status == null ? 0 : status.inFlight(),
                                runner.maxConcurrentCalls()));
            }
        }
        return rows;
    }

    private List<MemberRow> members() {
        List<MemberRow> rows = new ArrayList<>();
        ownership
                .service
                .sessions()
                .forEach((incarnation, session) -> rows.add(member(incarnation, session)));
        return rows;
    }

    private static MemberRow member(String incarnation, SessionRecord session) {
        return new MemberRow(
                session.node(),
                incarnation,
                session.failureDomain(),
                session.draining() ? "LEAVING" : "LIVE");
    }

    private static <T> T awaitOrDefault(CompletableFuture<T> future, T fallback) {
        return future.completeOnTimeout(fallback, ANSWER_TIMEOUT_MS, TimeUnit.MILLISECONDS).join();
    }
}
