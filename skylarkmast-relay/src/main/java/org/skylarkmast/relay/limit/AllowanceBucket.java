package org.skylarkmast.relay.limit;

import java.util.HashMap;
import java.util.Map;

/** The token bucket of one workspace at its granter; not thread-safe, time passed in. */
final class AllowanceBucket {
    private static final double NS_PER_S = 1e9;
    private static final double MS_PER_S = 1e3;

    /** Time constant of the average of what a node was granted. */
    static final double SHARE_MEMORY_S = 4;

    /**
     * Part of the capacity below which nodes get no more than their share of {@link
     * #SCARCE_LEASE_S}: what some of them hold unused would be missing to the others.
     */
    private static final double SCARCE_PART = 0.25;

    /** Time for which a node's share of the rate is leased to it while tokens are scarce. */
    private static final double SCARCE_LEASE_S = 0.2;

    /** Longest time after the next token at which a node is asked to call again. */
    private static final double MAX_QUEUE_S = 0.3;

    /** Time of the rate that admissions without a token can take away from later ones. */
    private static final double MAX_DEBT_S = 1;

    /** Average grants below which a node's entry is removed. */
    private static final double NEGLIGIBLE_TOKENS = 0.01;

    /** Number of nodes from which entries of idle ones are looked for. */
    private static final int SWEEP_NODES = 16;

    private final QuotaTolerance tolerance;
    private final Map<String, Granted> grantedByNode = new HashMap<>();
    private Granted granted;
    private int sweepAtNodes = SWEEP_NODES;
    private long version;
    private double rate;
    private double burst;
    private double level;
    private long atNs;
    private long queueEndNs;

    /** Tokens granted, of which the weight decays with {@link #SHARE_MEMORY_S}. */
    private record Granted(double tokens, long atNs) {

        double at(long nowNs) {
            return tokens * Math.exp(-(nowNs - atNs) / NS_PER_S / SHARE_MEMORY_S);
        }

        Granted plus(double more, long nowNs) {
            return new Granted(at(nowNs) + more, nowNs);
        }
    }

    /**
     * @param item states the allowance
     * @param tokens tokens at first, limited to the capacity
     */
    AllowanceBucket(QuotaTolerance tolerance, LeaseRequest.Item item, double tokens, long nowNs) {
        this.tolerance = tolerance;
        this.version = item.version();
        this.rate = item.requestsPerSecond();
        this.burst = item.burst();
        // A start with the tolerance may exceed the capacity of a small burst.
        this.level = tokens;
        this.atNs = nowNs;
        this.granted = new Granted(0, nowNs);
        this.queueEndNs = nowNs;
    }

    /** Whether the bucket is full and granted nothing after {@code sinceNs}. */
    boolean isFullAndIdleSince(long sinceNs) {
        return granted.atNs() - sinceNs < 0
                && atNs - sinceNs < 0
                && level + (sinceNs - atNs) / NS_PER_S * rate >= tolerance.capacity(rate, burst);
    }

    /** Removes what the bucket holds beyond the tokens of a granter without history. */
    void forgetSavings() {
        level = Math.min(level, tolerance.restartTokens(rate, burst));
    }

    /** Grants as much of {@code item} as the bucket holds. */
    LeaseGrant grant(String node, LeaseRequest.Item item, long nowNs) {
        refill(nowNs);
        applyAllowance(item);
        double capacity = tolerance.capacity(rate, burst);
        level = Math.max(level, Math.min(capacity, level + item.returned()));
        if (item.ownShareUsed() > 0) {
            level = Math.max(Math.min(level, -rate * MAX_DEBT_S), level - item.ownShareUsed());
        }
        double demanded = Math.min(item.wanted(), level);
        double share = share(node, demanded, nowNs);
        int limit = limit(item, share, capacity);
        int tokens = (int) Math.max(0, Math.min(Math.floor(level), limit));
        boolean nodesQueue = queueEndNs - nowNs > 0;
        boolean isShort = tokens < limit || (nodesQueue && level - tokens < 1);
        level -= tokens;
        granted = granted.plus(tokens, nowNs);
        grantedByNode.merge(
                node, new Granted(tokens, nowNs), (before, _) -> before.plus(tokens, nowNs));
        removeIdleNodes(nowNs);
        long waitMs = isShort ? queue(share, nowNs) : 0;
        return new LeaseGrant(tokens, waitMs, share(node, 0, nowNs), granted.tokens(), level);
    }

    private void refill(long nowNs) {
        double refilled = level + (nowNs - atNs) / NS_PER_S * rate;
        level = Math.max(level, Math.min(tolerance.capacity(rate, burst), refilled));
        atNs = nowNs;
    }

    /** The newest configuration counts; a lower limit also binds what has been saved up. */
    private void applyAllowance(LeaseRequest.Item item) {
        if (item.version() <= version) {
            return;
        }
        version = item.version();
        boolean isLower = item.requestsPerSecond() < rate || item.burst() < burst;
        rate = item.requestsPerSecond();
        burst = item.burst();
        if (isLower) {
            level = Math.min(level, tolerance.capacity(rate, burst));
        }
    }

    private int limit(LeaseRequest.Item item, double share, double capacity) {
        if (level - item.wanted() >= SCARCE_PART * capacity) {
            return item.wanted();
        }
        int shared = (int) (share * rate * scarceLeaseS());
        return Math.min(item.wanted(), Math.max(item.waiting(), shared));
    }

    private double scarceLeaseS() {
        return Math.min(SCARCE_LEASE_S, tolerance.leaseMs(rate, burst) / MS_PER_S);
    }

    /** Returns the part of the recent grants of which {@code node} would get {@code more} now. */
    private double share(String node, double more, long nowNs) {
        Granted own = grantedByNode.get(node);
        double total = granted.at(nowNs) + Math.max(0, more);
        double part = (own == null ? 0 : own.at(nowNs)) + Math.max(0, more);
        return total <= 0 ? 0 : Math.min(1, part / total);
    }

    /**
     * Returns when a node that got less than it wanted should call again. Nodes queue up, so that
     * the calls of all nodes together do not come much faster than tokens.
     */
    private long queue(double share, long nowNs) {
        double nextTokenS = Math.max(0, 1 - level) / rate;
        long nextNs = nowNs + (long) (nextTokenS * NS_PER_S);
        long latestNs = nextNs + (long) (MAX_QUEUE_S * NS_PER_S);
        double leaseTokens = Math.max(1, share * rate * scarceLeaseS());
        long callNs = queueEndNs - nextNs < 0 ? nextNs : queueEndNs;
        callNs = callNs - latestNs > 0 ? latestNs : callNs;
        queueEndNs = callNs + (long) (leaseTokens / rate * NS_PER_S);
        return (long) Math.ceil(Math.max(0, callNs - nowNs) / NS_PER_S * MS_PER_S);
    }

    private void removeIdleNodes(long nowNs) {
        if (grantedByNode.size() > sweepAtNodes) {
            grantedByNode.values().removeIf(node -> node.at(nowNs) < NEGLIGIBLE_TOKENS);
            sweepAtNodes = Math.max(SWEEP_NODES, 2 * grantedByNode.size());
        }
    }
}
