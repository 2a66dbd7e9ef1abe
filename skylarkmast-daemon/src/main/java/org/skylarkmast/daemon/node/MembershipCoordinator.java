package org.skylarkmast.daemon.node;

import io.grpc.StatusRuntimeException;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.skylarkmast.core.config.Configuration;
import org.skylarkmast.core.config.Target;
import org.skylarkmast.core.membership.MemberView;
import org.skylarkmast.core.membership.MembershipSettings;
import org.skylarkmast.core.membership.MembershipStateMachine;
import org.skylarkmast.core.ownership.OwnerLocation;
import org.skylarkmast.core.scheduling.PeerLoad;
import org.skylarkmast.core.scheduling.SchedulingEvent;
import org.skylarkmast.daemon.dispatch.CallDispatcher;
import org.skylarkmast.daemon.membership.HeartbeatSender;
import org.skylarkmast.daemon.membership.HostListPoller;
import org.skylarkmast.daemon.membership.MembershipListener;
import org.skylarkmast.daemon.membership.MembershipService;
import org.skylarkmast.daemon.peer.PeerChannels;
import org.skylarkmast.daemon.settings.Settings;
import org.skylarkmast.http.HttpClient;
import org.skylarkmast.rpc.peer.PeerProto;

/**
 * Exchanges heartbeats, follows the host list, and passes the results to routing and scheduling.
 * Thread-safe.
 */
final class MembershipCoordinator implements MembershipListener, HeartbeatSender {
    private static final long HEARTBEAT_TIMEOUT_MS = 1_000;
    private static final long HOST_LIST_INTERVAL_MS = 1_000;
    private static final long OWN_LOAD_TIMEOUT_MS = 500;

    private final Settings settings;
    private final OwnershipComponents ownership;
    private final PeerChannels channels;
    private final CallDispatcher dispatch;
    private final BooleanSupplier draining;
    private final LongSupplier configurationRevision;
    private final MembershipService service;
    private final Set<String> leavingAddresses = ConcurrentHashMap.newKeySet();
    private volatile Configuration configuration = Configuration.EMPTY;

    MembershipCoordinator(
            Settings settings,
            OwnershipComponents ownership,
            PeerChannels channels,
            CallDispatcher dispatch,
            DaemonExecutors executors,
            BooleanSupplier draining,
            LongSupplier configurationRevision) {
        this.settings = settings;
        this.ownership = ownership;
        this.channels = channels;
        this.dispatch = dispatch;
        this.draining = draining;
        this.configurationRevision = configurationRevision;
        long intervalMs = settings.timing().heartbeatIntervalMs();
        service =
                new MembershipService(
                        new MembershipStateMachine(
                                MembershipSettings.withRounds(
                                        intervalMs, settings.timing().suspectAfterMs()),
                                RandomGenerator.getDefault()),
                        () ->
                                new MembershipService.SessionSource.Sessions(
                                        ownership.session.incarnation().orElse(""),
                                        ownership.service.sessions()),
                        this,
                        this,
                        executors.membership,
                        executors.blocking,
                        System::nanoTime,
                        intervalMs);
    }

    void start(HttpClient client, DaemonExecutors executors) {
        service.start();
        settings.hostList()
                .ifPresent(
                        hosts ->
                                new HostListPoller(
                                                client,
                                                hosts.address(),
                                                executors.membership,
                                                executors.blocking,
                                                HOST_LIST_INTERVAL_MS,
                                                service::onHostsRead)
                                        .start());
    }

    /** Stops sending heartbeats. */
    void close() {
        service.close();
    }

    /** Applies a new configuration, which may name runners on hosts that are leaving. */
    void onConfigurationChanged(Configuration changed) {
        configuration = changed;
        leavingAddresses.forEach(address -> postRunnersLeaving(address, true));
    }

    /** Returns whether an owner is reachable, that is, not suspected in the current view. */
    boolean reachable(OwnerLocation owner) {
        return service.view().members().stream()
                .noneMatch(
                        member ->
                                member.incarnation().equals(owner.incarnation())
                                        && member.state() == MemberView.State.SUSPECTED);
    }

    /** Answers a peer's heartbeat. */
    PeerProto.HeartbeatReply onHeartbeat(PeerProto.HeartbeatRequest request) {
        service.onHeartbeatReceived(
                request.getIncarnation(),
                request.getDraining(),
                request.getLoadsList().stream().map(MembershipCoordinator::fromMessage).toList());
        return PeerProto.HeartbeatReply.newBuilder()
                .setIncarnation(ownership.session.incarnation().orElse(""))
                .setDraining(draining.getAsBoolean())
                .setConfigurationRevision(configurationRevision.getAsLong())
                .addAllLoads(ownLoad().stream().map(MembershipCoordinator::toMessage).toList())
                .build();
    }

    @Override
    public Outcome send(String peerAddress) {
        PeerProto.HeartbeatRequest request =
                PeerProto.HeartbeatRequest.newBuilder()
                        .setIncarnation(ownership.session.incarnation().orElse(""))
                        .setNode(settings.node().name())
                        .setFailureDomain(settings.failureDomain())
                        .setDraining(draining.getAsBoolean())
                        .setConfigurationRevision(configurationRevision.getAsLong())
                        .addAllLoads(
                                ownLoad().stream().map(MembershipCoordinator::toMessage).toList())
                        .build();
        try {
            PeerProto.HeartbeatReply reply =
                    channels.blockingStub(peerAddress, HEARTBEAT_TIMEOUT_MS).heartbeat(request);
            return new Outcome.Answered(
                    reply.getIncarnation(),
                    reply.getDraining(),
                    reply.getLoadsList().stream().map(MembershipCoordinator::fromMessage).toList());
        } catch (StatusRuntimeException e) {
            return new Outcome.Missed();
        }
    }

    @Override
    public void onViewChanged(MemberView view) {
        // Nothing to do: forwarding reads the current view for each request.
    }

    @Override
    public void onPeerLoad(String incarnation, List<PeerLoad> loads) {
        dispatch.notifyScheduler(new SchedulingEvent.PeerLoadReported(incarnation, loads));
    }

    @Override
    public void onPeerGone(String incarnation) {
        dispatch.notifyScheduler(new SchedulingEvent.PeerGone(incarnation));
    }

    @Override
    public void onHostLeaving(String address, boolean leaving) {
        if (leaving) {
            leavingAddresses.add(address);
        } else {
            leavingAddresses.remove(address);
        }
        postRunnersLeaving(address, leaving);
    }

    private void postRunnersLeaving(String address, boolean leaving) {
        for (Target target : configuration.targets().values()) {
            for (Target.Runner runner : target.runners()) {
                if (runner.address().equals(address)) {
                    dispatch.notifyScheduler(
                            new SchedulingEvent.RunnerLeaving(runner.name(), leaving));
                }
            }
        }
    }

    private List<PeerLoad> ownLoad() {
        CompletableFuture<List<PeerLoad>> load = new CompletableFuture<>();
        dispatch.query(scheduler -> load.complete(scheduler.ownLoad()));
        return load.completeOnTimeout(List.of(), OWN_LOAD_TIMEOUT_MS, TimeUnit.MILLISECONDS).join();
    }

    private static PeerProto.RunnerLoad toMessage(PeerLoad load) {
        return PeerProto.RunnerLoad.newBuilder()
                .setRunner(load.runner())
                .setCalls(load.calls())
                .setPrefillTokens(load.prefillTokens())
                .setDecodeTokens(load.decodeTokens())
                .build();
    }

    private static PeerLoad fromMessage(PeerProto.RunnerLoad load) {
        return new PeerLoad(
                load.getRunner(), load.getCalls(), load.getPrefillTokens(), load.getDecodeTokens());
    }
}
