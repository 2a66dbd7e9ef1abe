package org.skylarkmast.relay.limit;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;
import org.skylarkmast.relay.route.Workspace;

/**
 * What one entry node knows and holds of a workspace's allowance; not thread-safe, no I/O, time
 * passed in.
 */
final class LocalAllowance {
    private static final double NS_PER_S = 1e9;
    private static final double MS_PER_S = 1e3;

    /** Time constant of the estimate of this node's demand. */
    private static final double DEMAND_MEMORY_S = 0.5;

    /** Time of demand for which tokens are held; half of it has passed when more are requested. */
    private static final double HELD_S = 0.2;

    /** Validity below which tokens are requested for waiting requests only. */
    private static final double MIN_HELD_MS = 100;

    /** Longest Retry-After: callers' load changes within seconds. */
    private static final long MAX_RETRY_AFTER_MS = 5000;

    private final QuotaTolerance tolerance;
    private final DoubleSupplier random;
    private final Deque<Lease> leases = new ArrayDeque<>();
    private Workspace workspace;
    private long version;
    private int held;
    private int returned;
    private int ownShareUsed;
    private double demand;
    private long demandNs;
    private LeaseGrant lastGrant = new LeaseGrant(0, 0, 0, 0, 0);
    private boolean hasGrant;
    private long grantedNs;
    private long callNs;
    private long placeNs;
    private OwnShare ownShare;
    private boolean isIsolatedShare;

    /**
     * @param tokens tokens not yet used
     * @param expiresNs when they must not be used any more
     */
    private record Lease(int tokens, long expiresNs) {}

    /**
     * @param random uniform in [0, 1)
     */
    LocalAllowance(
            QuotaTolerance tolerance,
            Workspace workspace,
            long version,
            DoubleSupplier random,
            long nowNs) {
        this.tolerance = tolerance;
        this.workspace = workspace;
        this.version = version;
        this.random = random;
        this.demandNs = nowNs;
        this.callNs = nowNs;
        this.placeNs = nowNs;
    }

    /** Applies the allowance of a configuration unless a newer one is known. */
    void apply(Workspace offered, long offeredVersion) {
        if (offeredVersion > version) {
            version = offeredVersion;
            boolean changed = !offered.equals(workspace);
            workspace = offered;
            ownShare = changed ? null : ownShare;
        }
    }

    /** Counts a request in the demand; once for each request. */
    void countDemand(long nowNs) {
        demand = demandAt(nowNs) + 1 / DEMAND_MEMORY_S;
        demandNs = nowNs;
    }

    private double demandAt(long nowNs) {
        return demand * Math.exp(-(nowNs - demandNs) / NS_PER_S / DEMAND_MEMORY_S);
    }

    /** Decides by what this node holds; empty if the granter has to be called. */
    Optional<QuotaDecision> decide(long nowNs) {
        if (takeToken(nowNs)) {
            return Optional.of(new QuotaDecision.Admitted(QuotaSource.GRANTER));
        }
        return nowNs - callNs < 0 ? Optional.of(rejection(nowNs)) : Optional.empty();
    }

    /** Decides on a request for which the granter has been called. */
    QuotaDecision decideAfterGrant(long nowNs) {
        return takeToken(nowNs)
                ? new QuotaDecision.Admitted(QuotaSource.GRANTER)
                : rejection(nowNs);
    }

    private boolean takeToken(long nowNs) {
        expireLeases(nowNs);
        Lease lease = leases.poll();
        if (lease == null) {
            return false;
        }
        if (lease.tokens() > 1) {
            leases.addFirst(new Lease(lease.tokens() - 1, lease.expiresNs()));
        }
        held--;
        return true;
    }

    private void expireLeases(long nowNs) {
        while (!leases.isEmpty() && leases.peek().expiresNs() - nowNs <= 0) {
            int expired = leases.poll().tokens();
            held -= expired;
            returned += expired;
        }
    }

    private QuotaDecision rejection(long nowNs) {
        double share = Math.max(lastGrant.share(), 1 / (1 + lastGrant.recentTokens()));
        long spacingNs = (long) (NS_PER_S / (share * workspace.requestsPerSecond()));
        return rejected(QuotaSource.GRANTER, lastGrant.level(), callNs, spacingNs, nowNs);
    }

    /**
     * Rejected requests are told successive places: if all of them came back for the next one, all
     * but one would be rejected again.
     */
    private QuotaDecision rejected(
            QuotaSource source, double level, long firstNs, long spacingNs, long nowNs) {
        long limitNs = nowNs + TimeUnit.MILLISECONDS.toNanos(MAX_RETRY_AFTER_MS);
        placeNs = Math.max(0, Math.max(placeNs - nowNs, firstNs - nowNs)) + nowNs;
        placeNs = Math.min(limitNs - nowNs, placeNs + spacingNs - nowNs) + nowNs;
        long waitMs = Math.max(1, TimeUnit.NANOSECONDS.toMillis(placeNs - nowNs));
        return new QuotaDecision.Rejected(waitMs, source, level, ageMs(nowNs));
    }

    private long ageMs(long nowNs) {
        return hasGrant ? TimeUnit.NANOSECONDS.toMillis(nowNs - grantedNs) : -1;
    }

    /**
     * Decides while the granter does not answer.
     *
     * @param isIsolated whether the granter may still grant to other nodes
     * @param entryNodes number of entry nodes
     * @param lostNs since when the granter has not answered
     */
    QuotaDecision decideByOwnShare(boolean isIsolated, int entryNodes, long lostNs, long nowNs) {
        if (takeToken(nowNs)) {
            return new QuotaDecision.Admitted(QuotaSource.GRANTER);
        }
        if (ownShare == null) {
            ownShare = newOwnShare(isIsolated, entryNodes, lostNs, true);
        } else if (isIsolatedShare != isIsolated) {
            // What could be used since the loss has been counted by the share so far.
            ownShare = newOwnShare(isIsolated, entryNodes, nowNs, false);
        }
        isIsolatedShare = isIsolated;
        if (ownShare.take(nowNs)) {
            ownShareUsed++;
            return new QuotaDecision.Admitted(QuotaSource.OWN_SHARE);
        }
        long firstNs = nowNs + (long) (ownShare.waitMs() / MS_PER_S * NS_PER_S);
        return rejected(QuotaSource.OWN_SHARE, ownShare.level(), firstNs, 0, nowNs);
    }

    /**
     * Creates the share: this node's part of the recent leases, as far as these are many enough to
     * show where the next requests arrive, and an equal part of the rest.
     *
     * @param sinceNs since when places of the share can be taken
     * @param isFirst whether this is the first share since the loss of the granter
     */
    private OwnShare newOwnShare(
            boolean isIsolated, int entryNodes, long sinceNs, boolean isFirst) {
        double rate = workspace.requestsPerSecond();
        double burst = workspace.burst();
        double agedBy =
                hasGrant
                        ? Math.exp(
                                -Math.max(0, sinceNs - grantedNs)
                                        / NS_PER_S
                                        / AllowanceBucket.SHARE_MEMORY_S)
                        : 0;
        double weight = lastGrant.recentTokens() / (lastGrant.recentTokens() + entryNodes);
        double part = weight * lastGrant.share() * agedBy + (1 - weight) / entryNodes;
        if (isIsolated) {
            double tokens = part * tolerance.isolatedTokens(rate, burst);
            return new OwnShare(
                    tokens / tolerance.windowS(), tokens, isFirst ? tokens : 0, random, sinceNs);
        }
        return new OwnShare(
                part * rate,
                part * (burst + tolerance.totalRequests(rate, burst)),
                isFirst ? part * tolerance.lossTokens(rate, burst) : 0,
                random,
                sinceNs);
    }

    /** Whether a busy workspace needs more tokens soon, so that its requests need not wait. */
    boolean needsRefresh(long nowNs) {
        expireLeases(nowNs);
        int target = heldTarget(nowNs);
        return target > 1 && held <= target / 2 && nowNs - callNs >= 0;
    }

    private int heldTarget(long nowNs) {
        double leaseMs = tolerance.leaseMs(workspace.requestsPerSecond(), workspace.burst());
        return leaseMs < MIN_HELD_MS ? 0 : (int) (demandAt(nowNs) * HELD_S);
    }

    /** Whether tokens are to be returned with the next message to the granter. */
    boolean hasReturns(long nowNs) {
        expireLeases(nowNs);
        return returned > 0;
    }

    /**
     * Returns the request to the granter.
     *
     * @param waiting requests that wait for its answer
     */
    LeaseRequest.Item request(int waiting, long nowNs) {
        expireLeases(nowNs);
        int wanted = Math.max(waiting, waiting + heldTarget(nowNs) - held);
        LeaseRequest.Item item =
                new LeaseRequest.Item(
                        workspace.name(),
                        version,
                        workspace.requestsPerSecond(),
                        workspace.burst(),
                        waiting,
                        waiting == 0 && !needsRefresh(nowNs) ? 0 : wanted,
                        returned,
                        ownShareUsed);
        // A call that is not answered may have been received: tokens are returned only once.
        returned = 0;
        return item;
    }

    /**
     * Takes the answer to a request.
     *
     * @param sentNs when the request was sent
     */
    void granted(LeaseRequest.Item item, LeaseGrant grant, long sentNs, long nowNs) {
        ownShareUsed -= Math.min(ownShareUsed, item.ownShareUsed());
        ownShare = null;
        lastGrant = grant;
        hasGrant = true;
        grantedNs = nowNs;
        callNs = nowNs + TimeUnit.MILLISECONDS.toNanos(grant.waitMs());
        if (grant.tokens() > 0) {
            long validNs = TimeUnit.MILLISECONDS.toNanos(QuotaTolerance.MAX_LEASE_MS);
            leases.add(new Lease(grant.tokens(), sentNs + validNs));
            held += grant.tokens();
        }
    }

    /** Returns the place of a request that was admitted and did not run. */
    void giveBack() {
        if (ownShareUsed > 0) {
            ownShareUsed--;
        } else {
            returned++;
        }
    }

    /** Whether the workspace has not been used since {@code sinceNs} and nothing is held of it. */
    boolean isIdleSince(long sinceNs) {
        return demandNs - sinceNs < 0 && ownShareUsed == 0;
    }
}
