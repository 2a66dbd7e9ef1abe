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

/** Heartbeats, the host list, and what they mean for routing; thread-safe. */
final class MembershipParts implements MembershipListener, HeartbeatSender {
    private static final long HEARTBEAT_TIMEOUT_MS = 1_000;
    private static final long HOST_LIST_INTERVAL_MS = 1_000;
    private static final long OWN_LOAD_TIMEOUT_MS = 500;

    private final Settings settings;
    private final OwnershipParts owned;
    private final PeerChannels channels;
    private final CallDispatcher dispatch;
    private final BooleanSupplier draining;
    private final LongSupplier configurationRevision;
    private final MembershipService service;
    private final Set<String> leavingAddresses = ConcurrentHashMap.newKeySet();
    private volatile Configuration configuration = Configuration.EMPTY;

    MembershipParts(
            Settings settings,
            OwnershipParts owned,
            PeerChannels channels,
            CallDispatcher dispatch,
            Loops loops,
            BooleanSupplier draining,
            LongSupplier configurationRevision) {
        this.settings = settings;
        this.owned = owned;
        this.channels = channels;
        this.dispatch = dispatch;
        this.draining = draining;
        this.configurationRevision = configurationRevision;
        long roundMs = settings.timing().heartbeatIntervalMs();
        service =
                new MembershipService(
                        new MembershipStateMachine(
                                MembershipSettings.withRounds(
                                        roundMs, settings.timing().suspectAfterMs()),
                                RandomGenerator.getDefault()),
                        () ->
                                new MembershipService.SessionSource.Sessions(
                                        owned.session.incarnation().orElse(""),
                                        owned.ownership.sessions()),
                        this,
                        this,
                        loops.membership,
                        loops.blocking,
                        System::nanoTime,
                        roundMs);
    }

    void start(HttpClient client, Loops loops) {
        service.start();
        settings.hostList()
                .ifPresent(
                        hosts ->
                                new HostListPoller(
                                                client,
                                                hosts.address(),
                                                loops.membership,
                                                loops.blocking,
                                                HOST_LIST_INTERVAL_MS,
                                                service::onHostsRead)
                                        .start());
    }

    /** Sends no further heartbeats. */
    void close() {
        service.close();
    }

    /** A new configuration may name runners on hosts that are leaving. */
    void configurationChanged(Configuration changed) {
        configuration = changed;
        leavingAddresses.forEach(address -> tellRunners(address, true));
    }

    /** Whether an owner answers heartbeats, as far as is known. */
    boolean reachable(OwnerLocation owner) {
        return service.view().members().stream()
                .noneMatch(
                        member ->
                                member.incarnation().equals(owner.incarnation())
                                        && member.state() == MemberView.State.SUSPECTED);
    }

    /** Answers a peer's heartbeat. */
    PeerProto.HeartbeatReply answer(PeerProto.HeartbeatRequest request) {
        service.onHeartbeatReceived(
                request.getIncarnation(),
                request.getDraining(),
                request.getLoadsList().stream().map(MembershipParts::fromMessage).toList());
        return PeerProto.HeartbeatReply.newBuilder()
                .setIncarnation(owned.session.incarnation().orElse(""))
                .setDraining(draining.getAsBoolean())
                .setConfigurationRevision(configurationRevision.getAsLong())
                .addAllLoads(ownLoad().stream().map(MembershipParts::toMessage).toList())
                .build();
    }

    @Override
    public Outcome send(String peerAddress) {
        PeerProto.HeartbeatRequest request =
                PeerProto.HeartbeatRequest.newBuilder()
                        .setIncarnation(owned.session.incarnation().orElse(""))
                        .setNode(settings.node().name())
                        .setFailureDomain(settings.failureDomain())
                        .setDraining(draining.getAsBoolean())
                        .setConfigurationRevision(configurationRevision.getAsLong())
                        .addAllLoads(ownLoad().stream().map(MembershipParts::toMessage).toList())
                        .build();
        try {
            PeerProto.HeartbeatReply reply =
                    channels.blockingStub(peerAddress, HEARTBEAT_TIMEOUT_MS).heartbeat(request);
            return new Outcome.Answered(
                    reply.getIncarnation(),
                    reply.getDraining(),
                    reply.getLoadsList().stream().map(MembershipParts::fromMessage).toList());
        } catch (StatusRuntimeException e) {
            return new Outcome.Missed();
        }
    }

    @Override
    public void onViewChanged(MemberView view) {
        // The view is read when a request is forwarded.
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
        tellRunners(address, leaving);
    }

    private void tellRunners(String address, boolean leaving) {
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
