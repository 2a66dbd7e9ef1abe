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

/** What the administration port tells of this node; thread-safe, calls block briefly. */
final class AdminSources implements StatusSource, ProgramSource, HistorySource {

    /** Time for the event loops to answer; past it a page is told as empty. */
    private static final long ANSWER_TIMEOUT_MS = 2_000;

    private final Settings settings;
    private final OwnershipParts owned;
    private final PartitionRegistry registry;
    private final CallDispatcher dispatch;
    private final Supplier<Configuration> configuration;
    private final BooleanSupplier ready;
    private final BooleanSupplier draining;

    /**
     * @param ready whether the node takes callers' requests
     */
    AdminSources(
            Settings settings,
            OwnershipParts owned,
            PartitionRegistry registry,
            CallDispatcher dispatch,
            Supplier<Configuration> configuration,
            BooleanSupplier ready,
            BooleanSupplier draining) {
        this.settings = settings;
        this.owned = owned;
        this.registry = registry;
        this.dispatch = dispatch;
        this.configuration = configuration;
        this.ready = ready;
        this.draining = draining;
    }

    @Override
    public NodeStatus status() {
        CompletableFuture<CallsView> calls = new CompletableFuture<>();
        dispatch.query(scheduler -> calls.complete(view(scheduler)));
        CallsView view = within(calls, new CallsView(0, List.of()));
        Configuration inForce = configuration.get();
        int underWay = view.runners().stream().mapToInt(RunnerStatus::inFlight).sum();
        return new NodeStatus(
                settings.node().name(),
                owned.session.incarnation().orElse(""),
                settings.failureDomain(),
                ready.getAsBoolean(),
                draining.getAsBoolean(),
                owned.session.leaseValidAt(System.nanoTime()),
                inForce.revision(),
                registry.ownedPartitions().size(),
                within(registry.programs(), List.of()).size(),
                underWay,
                view.queued(),
                members(),
                runners(inForce, view.runners()));
    }

    @Override
    public List<ProgramRow> programs(String workspace, int limit) {
        return within(registry.programs(), List.<ProgramSummary>of()).stream()
                .filter(program -> program.root().workspace().equals(workspace))
                .limit(limit)
                .map(AdminSources::row)
                .toList();
    }

    @Override
    public HistoryOutcome history(String workspace, String id) {
        ProgramKey root = new ProgramKey(workspace, id).root();
        Optional<CompletableFuture<List<CallerEvent.ProgramRead>>> told = registry.histories(root);
        if (told.isEmpty()) {
            return new HistoryOutcome.OwnedElsewhere(
                    owned.ownership.ownerOf(root.partition()).map(OwnerLocation::node).orElse(""));
        }
        List<HistoryRow> rows = new ArrayList<>();
        for (CallerEvent.ProgramRead agent : within(told.get(), List.of())) {
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

    private record CallsView(int queued, List<RunnerStatus> runners) {}

    private static CallsView view(CallScheduler scheduler) {
        return new CallsView(scheduler.queued(), scheduler.runnerStatuses(System.nanoTime()));
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

    private static List<RunnerRow> runners(Configuration inForce, List<RunnerStatus> views) {
        Map<String, RunnerStatus> byName =
                views.stream().collect(Collectors.toMap(RunnerStatus::runner, view -> view));
        List<RunnerRow> rows = new ArrayList<>();
        for (Target target : inForce.targets().values()) {
            for (Target.Runner runner : target.runners()) {
                RunnerStatus view = byName.get(runner.name());
                rows.add(
                        new RunnerRow(
                                target.name(),
                                runner.name(),
                                runner.failureDomain(),
                                view == null ? "UNKNOWN" : view.health().name(),
                                view == null ? 0 : view.inFlight(),
                                runner.maxConcurrentCalls()));
            }
        }
        return rows;
    }

    private List<MemberRow> members() {
        List<MemberRow> rows = new ArrayList<>();
        owned.ownership
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

    private static <T> T within(CompletableFuture<T> answer, T late) {
        return answer.completeOnTimeout(late, ANSWER_TIMEOUT_MS, TimeUnit.MILLISECONDS).join();
    }
}
