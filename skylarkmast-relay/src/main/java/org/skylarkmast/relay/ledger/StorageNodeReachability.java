package org.skylarkmast.relay.ledger;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Tracks which storage nodes answer this process and which are due for a probe; thread-safe, does
 * no I/O.
 *
 * <p>A storage node that answered counts as reachable until a call fails. While all answer, only
 * one is probed per second, so that an entry node's probing cost does not grow with the number of
 * storage nodes in large fleets.
 */
final class StorageNodeReachability {
    private static final Logger LOG = LoggerFactory.getLogger(StorageNodeReachability.class);

    /**
     * Time after a storage node's last response during which a failed call does not yet make it
     * unreachable.
     */
    private static final long REACHABLE_MS = 1200;

    /**
     * Time for which a quorum is still assumed after it was last seen: a storage node that was just
     * added answers only once it has fetched the last records.
     */
    private static final long QUORUM_GRACE_MS = 700;

    /**
     * Time after a failed call during which callers that already have a quorum do not wait for the
     * storage node.
     */
    private static final long SUSPECT_MS = 2000;

    /**
     * Time since the last response after which a storage node is probed, and the least time between
     * two such probes while all storage nodes answer.
     */
    private static final long IDLE_PROBE_MS = 1000;

    /**
     * Time since the last response after which every storage node is probed while one of them does
     * not answer: a network partition rarely cuts off just one.
     */
    private static final long FAILURE_PROBE_MS = 300;

    /**
     * First pause between probes of an address at which another process answers; it doubles each
     * time.
     */
    private static final long OTHER_PROCESS_PAUSE_MS = 1000;

    private static final long MAX_OTHER_PROCESS_PAUSE_MS = 30_000;

    private static final long NEVER = Long.MIN_VALUE;

    private final LongSupplier clockNs;
    private final Map<String, LastCalls> lastCallsByAddress = new ConcurrentHashMap<>();
    private final Map<String, OtherProcess> otherProcessesByAddress = new ConcurrentHashMap<>();
    private volatile long quorumAssumedUntilNs = NEVER;
    private volatile long lastIdleProbeNs = NEVER;

    /**
     * Times of the last calls to one storage node.
     *
     * @param answeredNs last response, {@link #NEVER} before the first
     * @param failedNs last failed call since that response, {@link #NEVER} if none
     */
    private record LastCalls(long answeredNs, long failedNs) {}

    /**
     * Another process at the address of a storage node.
     *
     * @param pauseMs pause before the next probe
     */
    private record OtherProcess(long answeredNs, long pauseMs) {}

    StorageNodeReachability(LongSupplier clockNs) {
        this.clockNs = clockNs;
    }

    /**
     * Records that another process answered a ping at the address of {@code member}, which is then
     * probed less and less often: a storage node may come back there, or the view may be old.
     */
    void recordOtherProcess(LedgerView.Member member) {
        OtherProcess before = otherProcessesByAddress.get(member.address());
        long pauseMs =
                before == null
                        ? OTHER_PROCESS_PAUSE_MS
                        : Math.min(MAX_OTHER_PROCESS_PAUSE_MS, 2 * before.pauseMs());
        otherProcessesByAddress.put(
                member.address(), new OtherProcess(clockNs.getAsLong(), pauseMs));
        LOG.atWarn()
                .addKeyValue("event", "keeper_address_taken")
                .addKeyValue("keeper", member)
                .addKeyValue("reason", "another process answers there")
                .addKeyValue("nextProbeMs", pauseMs)
                .log();
    }

    private boolean isPaused(LedgerView.Member member) {
        OtherProcess other = otherProcessesByAddress.get(member.address());
        return other != null && sinceMs(other.answeredNs()) < other.pauseMs();
    }

    /** Records the result of a call. */
    void recordCall(LedgerView.Member member, boolean answered) {
        long nowNs = clockNs.getAsLong();
        LastCalls before =
                lastCallsByAddress.put(
                        member.address(),
                        answered
                                ? new LastCalls(nowNs, NEVER)
                                : new LastCalls(lastCalls(member).answeredNs(), nowNs));
        if (answered) {
            otherProcessesByAddress.remove(member.address());
        }
        boolean wasFailing = before != null && before.failedNs() != NEVER;
        if (answered && wasFailing) {
            log("keeper_regained", member);
        } else if (!answered && !wasFailing) {
            log("keeper_lost", member);
        }
    }

    /** Whether the last call failed within {@link #SUSPECT_MS}. */
    boolean isSuspected(LedgerView.Member member) {
        long failedNs = lastCalls(member).failedNs();
        return failedNs != NEVER && sinceMs(failedNs) < SUSPECT_MS;
    }

    /**
     * Whether a quorum of {@code view} answers, or did within the last {@link #QUORUM_GRACE_MS}.
     */
    boolean hasQuorum(LedgerView view) {
        long reachableCount = view.members().stream().filter(this::isReachable).count();
        long nowNs = clockNs.getAsLong();
        if (!view.members().isEmpty() && reachableCount >= view.writeQuorum()) {
            quorumAssumedUntilNs = nowNs + TimeUnit.MILLISECONDS.toNanos(QUORUM_GRACE_MS);
            return true;
        }
        return quorumAssumedUntilNs != NEVER && nowNs - quorumAssumedUntilNs < 0;
    }

    /** Whether a quorum has answered at any time since the start. */
    boolean hadQuorum() {
        return quorumAssumedUntilNs != NEVER;
    }

    private boolean isReachable(LedgerView.Member member) {
        LastCalls lastCalls = lastCalls(member);
        return lastCalls.answeredNs() != NEVER
                && (lastCalls.failedNs() == NEVER
                        || sinceMs(lastCalls.answeredNs()) < REACHABLE_MS);
    }

    /** Returns the members to probe now; called several times a second. */
    List<LedgerView.Member> dueForProbe(LedgerView view) {
        lastCallsByAddress.keySet().removeIf(address -> !isInView(address, view));
        otherProcessesByAddress.keySet().removeIf(address -> !isInView(address, view));
        List<LedgerView.Member> due = new ArrayList<>();
        boolean anyUnresponsive = false;
        for (LedgerView.Member member : view.members()) {
            LastCalls lastCalls = lastCalls(member);
            if (lastCalls.answeredNs() == NEVER || lastCalls.failedNs() != NEVER) {
                if (!isPaused(member)) {
                    due.add(member);
                }
                anyUnresponsive = true;
            }
        }
        LedgerView.Member longestIdle = null;
        for (LedgerView.Member member : view.members()) {
            long idleMs = idleMs(member);
            boolean isDue = anyUnresponsive && idleMs >= FAILURE_PROBE_MS;
            if (isDue && !isPaused(member) && !due.contains(member)) {
                due.add(member);
            }
            if (idleMs >= IDLE_PROBE_MS && (longestIdle == null || idleMs > idleMs(longestIdle))) {
                longestIdle = member;
            }
        }
        boolean idleProbeDue =
                lastIdleProbeNs == NEVER || sinceMs(lastIdleProbeNs) >= IDLE_PROBE_MS;
        if (!anyUnresponsive && longestIdle != null && idleProbeDue) {
            lastIdleProbeNs = clockNs.getAsLong();
            due.add(longestIdle);
        }
        return due;
    }

    private static boolean isInView(String address, LedgerView view) {
        return view.members().stream().anyMatch(member -> member.address().equals(address));
    }

    private long idleMs(LedgerView.Member member) {
        long answeredNs = lastCalls(member).answeredNs();
        return answeredNs == NEVER ? Long.MAX_VALUE : sinceMs(answeredNs);
    }

    private LastCalls lastCalls(LedgerView.Member member) {
        return lastCallsByAddress.getOrDefault(member.address(), new LastCalls(NEVER, NEVER));
    }

    private long sinceMs(long ns) {
        return TimeUnit.NANOSECONDS.toMillis(clockNs.getAsLong() - ns);
    }

    private static void log(String event, LedgerView.Member member) {
        LOG.atWarn().addKeyValue("event", event).addKeyValue("keeper", member).log();
    }
}
