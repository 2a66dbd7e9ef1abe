package org.skylarkmast.relay.forward;

import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.skylarkmast.relay.http.HeaderFields;
import org.skylarkmast.relay.http.RunnerAnswer;
import org.skylarkmast.relay.http.RunnerConnectionPool;
import org.skylarkmast.relay.peer.PeerDirectory;
import org.skylarkmast.relay.peer.PeerNode;
import org.skylarkmast.relay.peer.RunnerReachability;
import org.skylarkmast.relay.runner.LeavingSource;
import org.skylarkmast.relay.runner.Runner;
import org.skylarkmast.relay.runner.RunnerPool;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Passes callers' requests on to other entry nodes while this node reaches no runner, or too few
 * storage nodes for them; thread-safe.
 *
 * <p>The other node serves the request as its own. It rejects it as misdirected if it is cut off as
 * well or has an older configuration; a request is never passed on twice.
 */
public final class PeerRelay {
    private static final Logger LOG = LoggerFactory.getLogger(PeerRelay.class);

    /** Number of runners to which the other node may send the request. */
    private static final String MAX_ATTEMPTS = "Skylarkmast-Max-Attempts";

    /** Present if a runner may have run the request already. */
    private static final String MAY_HAVE_RUN = "Skylarkmast-May-Have-Run";

    /** Version of the configuration by which the request was accepted. */
    private static final String CONFIGURATION = "Skylarkmast-Configuration";

    /**
     * In an answer to another entry node: incarnation of the runner that answered, if that said
     * that it is leaving.
     */
    private static final String LEAVING_RUNNER = "Skylarkmast-Leaving-Runner";

    private static final Set<String> PEER_ANSWER_FIELDS =
            Set.of(LEAVING_RUNNER.toLowerCase(Locale.ROOT));

    private static final Set<String> PEER_FIELDS =
            Set.of(
                    MAX_ATTEMPTS.toLowerCase(Locale.ROOT),
                    MAY_HAVE_RUN.toLowerCase(Locale.ROOT),
                    CONFIGURATION.toLowerCase(Locale.ROOT));

    /**
     * Time for which requests are rejected at once after no other node took one: this node may be
     * cut off from them as well, and each attempt to connect takes its time.
     */
    private static final long UNSERVED_PAUSE_MS = 500;

    /** Maximum number of nodes that are tried for a request. */
    private static final int MAX_PEERS = 3;

    private final RunnerReachability reachability;
    private final PeerDirectory peers;
    private final RunnerPool pool;
    private final RequestSender sender;
    private final LongSupplier clockNs;
    private volatile boolean unserved;
    private volatile long unservedSinceNs;

    /**
     * @param pool told of the runners that other nodes report to be leaving
     * @param connections connections to other entry nodes
     * @param clockNs monotonic clock, in ns
     */
    public PeerRelay(
            RunnerReachability reachability,
            PeerDirectory peers,
            RunnerPool pool,
            RunnerConnectionPool connections,
            WireDialect dialect,
            ScheduledExecutorService timers,
            LongSupplier clockNs) {
        this.clockNs = clockNs;
        this.reachability = reachability;
        this.peers = peers;
        this.pool = pool;
        this.sender = new RequestSender(connections, dialect::toPeerFields, dialect, timers);
    }

    /**
     * The result of passing a request on.
     *
     * @param peer process name of the last node it was sent to, empty if none is known
     */
    record Relayed(SendResult result, String peer) {}

    /**
     * Whether another entry node is known that may serve requests of this one, and one of them has
     * taken the last request or is due for another attempt.
     */
    boolean hasPeers() {
        boolean pauses =
                unserved
                        && clockNs.getAsLong() - unservedSinceNs
                                < TimeUnit.MILLISECONDS.toNanos(UNSERVED_PAUSE_MS);
        return !peers.isEmpty() && !pauses;
    }

    /** Whether this node reaches no runner, so that its callers' requests need another node. */
    boolean isNeeded() {
        return reachability.isCutOff();
    }

    /**
     * What the other node must know of a request beside the caller's fields.
     *
     * @param maxAttempts number of runners to which that node may send it, at least 1
     * @param mayHaveRun whether a runner may have run it already
     * @param configurationVersion version of the configuration by which it was accepted
     */
    record Terms(int maxAttempts, boolean mayHaveRun, long configurationVersion) {}

    /**
     * Sends a request to another entry node.
     *
     * @param request with the fields of the caller
     */
    Relayed relay(OutboundRequest request, Terms terms, Exchange exchange, AnswerWriter writer)
            throws InterruptedException {
        HeaderFields fields =
                request.fields()
                        .with(MAX_ATTEMPTS, Integer.toString(terms.maxAttempts()))
                        .with(CONFIGURATION, Long.toString(terms.configurationVersion()));
        OutboundRequest forPeer =
                request.withFields(terms.mayHaveRun() ? fields.with(MAY_HAVE_RUN, "1") : fields);
        SendResult result = new SendResult.NotRun(false, "no other entry node is known");
        String lastPeer = "";
        SendObserver observer = new LeavingObserver(pool, request.requestId());
        List<PeerNode> candidates = peers.shuffled();
        for (PeerNode peer : candidates.subList(0, Math.min(MAX_PEERS, candidates.size()))) {
            lastPeer = peer.process();
            Destination destination =
                    new Destination(peer.process(), peer.process(), peer.address());
            result = sender.send(forPeer, destination, observer, exchange, writer);
            if (!(result instanceof SendResult.NotRun notRun) || exchange.isCancelled()) {
                break;
            }
            LOG.atInfo()
                    .addKeyValue("event", "peer_rejected")
                    .addKeyValue("request", request.requestId())
                    .addKeyValue("peer", peer.process())
                    .addKeyValue("reason", notRun.reason())
                    .log();
        }
        unservedSinceNs = clockNs.getAsLong();
        unserved = result instanceof SendResult.NotRun && !exchange.isCancelled();
        return new Relayed(result, lastPeer);
    }

    /** Learns from another node's answers which runners are leaving. */
    private record LeavingObserver(RunnerPool pool, String requestId) implements SendObserver {

        @Override
        public void headRead(RunnerAnswer answer) {
            String incarnation = answer.fields().first(LEAVING_RUNNER);
            if (incarnation == null) {
                return;
            }
            int slash = incarnation.lastIndexOf('/');
            try {
                pool.recordLeaving(
                        incarnation.substring(0, Math.max(0, slash)),
                        Long.parseLong(incarnation.substring(slash + 1).strip()),
                        LeavingSource.PEER,
                        requestId);
            } catch (NumberFormatException e) {
                logUnreadable(LEAVING_RUNNER, incarnation);
            }
        }
    }

    /** Returns the fields of an answer to another node, which name a runner that is leaving. */
    static HeaderFields toPeerAnswer(HeaderFields answerFields, Runner runner) {
        return answerFields.with(LEAVING_RUNNER, runner.incarnation());
    }

    /** Returns the fields of another node's answer that are meant for the caller. */
    static HeaderFields toCallerAnswer(HeaderFields answerFields) {
        return answerFields.without(PEER_ANSWER_FIELDS);
    }

    /** Returns the number of runners to which a request of another node may be sent. */
    static int maxAttempts(HeaderFields peerFields, int routeLimit) {
        String value = peerFields.first(MAX_ATTEMPTS);
        try {
            return value == null
                    ? routeLimit
                    : Math.clamp(Integer.parseInt(value.strip()), 1, routeLimit);
        } catch (NumberFormatException e) {
            logUnreadable(MAX_ATTEMPTS, value);
            return 1;
        }
    }

    /**
     * Returns the lowest version of the configuration by which a request of another node may be
     * served; nodes of an earlier release state none.
     */
    static long minConfigurationVersion(HeaderFields peerFields) {
        String value = peerFields.first(CONFIGURATION);
        try {
            return value == null ? 0 : Long.parseLong(value.strip());
        } catch (NumberFormatException e) {
            logUnreadable(CONFIGURATION, value);
            return Long.MAX_VALUE;
        }
    }

    private static void logUnreadable(String field, String value) {
        LOG.atWarn()
                .addKeyValue("event", "peer_field_unreadable")
                .addKeyValue("field", field)
                .addKeyValue("value", value)
                .log();
    }

    /** Whether a runner may have run a request before another node passed it on. */
    static boolean mayHaveRun(HeaderFields peerFields) {
        return peerFields.first(MAY_HAVE_RUN) != null;
    }

    /** Returns the caller's fields of a request of another node. */
    static HeaderFields callerFields(HeaderFields peerFields) {
        return peerFields.without(PEER_FIELDS);
    }
}
