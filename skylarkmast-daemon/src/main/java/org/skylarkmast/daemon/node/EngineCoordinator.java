package org.skylarkmast.daemon.node;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.skylarkmast.core.config.Configuration;
import org.skylarkmast.core.config.Target;
import org.skylarkmast.core.engine.ProgramLiveness;
import org.skylarkmast.core.key.ProgramKey;
import org.skylarkmast.core.ownership.OwnerLocation;
import org.skylarkmast.core.ownership.PartitionDirectory;
import org.skylarkmast.core.scheduling.SchedulingAction;
import org.skylarkmast.core.scheduling.SchedulingEvent;
import org.skylarkmast.daemon.dispatch.CallDispatcher;
import org.skylarkmast.daemon.engine.CacheReconciler;
import org.skylarkmast.daemon.engine.CacheReleaser;
import org.skylarkmast.daemon.engine.EngineFeed;
import org.skylarkmast.daemon.engine.ModelVersionReconciler;
import org.skylarkmast.daemon.partition.PartitionRegistry;
import org.skylarkmast.http.HttpClient;

/** Reads the engines' load and cache state and has them release caches; thread-safe. */
final class EngineCoordinator implements AutoCloseable {
    private static final long POLL_INTERVAL_MS = 500;
    private static final long REQUEST_TIMEOUT_MS = 2_000;
    private static final long EVENT_SILENCE_MS = 15_000;
    private static final long RELEASE_INTERVAL_MS = 250;
    private static final long REVIEW_INTERVAL_MS = 5_000;
    private static final long LIVENESS_TIMEOUT_MS = 1_000;

    private final PartitionDirectory directory;
    private final PartitionRegistry registry;
    private final EngineFeed feed;
    private final CacheReleaser releaser;
    private final CacheReconciler reconciler;
    private final ModelVersionReconciler orders;
    private final AtomicReference<Configuration> configuration =
            new AtomicReference<>(Configuration.EMPTY);

    EngineCoordinator(
            HttpClient client,
            PartitionDirectory directory,
            PartitionRegistry registry,
            CallDispatcher dispatch,
            DaemonExecutors executors) {
        this.directory = directory;
        this.registry = registry;
        releaser =
                new CacheReleaser(
                        client,
                        REQUEST_TIMEOUT_MS,
                        this::addressOf,
                        this::epochOf,
                        dispatch::notifyScheduler,
                        System::nanoTime);
        reconciler =
                new CacheReconciler(
                        client, REQUEST_TIMEOUT_MS, this::livenessOf, releaser::release);
        orders = new ModelVersionReconciler(client, REQUEST_TIMEOUT_MS, this::epochOfTarget);
        feed =
                new EngineFeed(
                        new EngineFeed.Timing(
                                POLL_INTERVAL_MS, REQUEST_TIMEOUT_MS, EVENT_SILENCE_MS),
                        client,
                        event -> {
                            if (event instanceof SchedulingEvent.RunnerRestarted restarted) {
                                releaser.onRunnerRestarted(restarted.runner());
                            }
                            dispatch.notifyScheduler(event);
                        },
                        System::nanoTime);
        executors.scheduleBlocking(RELEASE_INTERVAL_MS, releaser::sendDue);
        executors.scheduleBlocking(REVIEW_INTERVAL_MS, this::reviewEngines);
        executors.scheduleBlocking(REVIEW_INTERVAL_MS, () -> orders.reconcile(configuration.get()));
    }

    /** Applies a new configuration: reads load and cache events from its runners. */
    void onConfigurationChanged(Configuration changed) {
        configuration.set(changed);
        feed.onConfigurationChanged(changed);
    }

    /** Requests that a runner release its cache for a program. */
    void release(SchedulingAction.ReleaseCache release) {
        releaser.release(release.runner(), release.program());
    }

    @Override
    public void close() {
        feed.close();
    }

    private void reviewEngines() {
        for (Target target : configuration.get().targets().values()) {
            if (target.kind() == Target.Kind.MODEL_ENGINE) {
                for (Target.Runner runner : target.runners()) {
                    reconciler.reconcile(runner.name(), runner.address());
                }
            }
        }
    }

    private Optional<String> addressOf(String runnerName) {
        return configuration.get().targets().values().stream()
                .flatMap(target -> target.runners().stream())
                .filter(runner -> runner.name().equals(runnerName))
                .map(Target.Runner::address)
                .findFirst();
    }

    /** Only the owner of the partition that a target's name maps to sends orders to the target. */
    private OptionalLong epochOfTarget(String target) {
        return epochOf(new ProgramKey("", target));
    }

    private OptionalLong epochOf(ProgramKey program) {
        int partition = program.partition();
        if (!directory.ownedHere(partition, System.nanoTime())) {
            return OptionalLong.empty();
        }
        Optional<OwnerLocation> owner = directory.ownerOf(partition);
        return owner.map(location -> OptionalLong.of(location.epoch()))
                .orElse(OptionalLong.empty());
    }

    private ProgramLiveness livenessOf(ProgramKey program) {
        Optional<CompletableFuture<Boolean>> answer = registry.isLive(program);
        if (answer.isEmpty() || epochOf(program).isEmpty()) {
            return ProgramLiveness.NOT_OWNED;
        }
        return answer.get()
                        .completeOnTimeout(true, LIVENESS_TIMEOUT_MS, TimeUnit.MILLISECONDS)
                        .join()
                ? ProgramLiveness.LIVE
                : ProgramLiveness.GONE;
    }
}
