package org.skylarkmast.relay.limit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Leases the allowances of workspaces to entry nodes, with a token bucket for each workspace;
 * thread-safe, no I/O.
 *
 * <p>The state may be lost at any time. Another granter may have granted a workspace's burst within
 * the last window, so a bucket starts with part of the tolerance, unless this process has been the
 * granter for longer than that.
 */
public final class AllowanceGranter {

    /** Time after which the bucket of an idle workspace is removed. */
    private static final long IDLE_RETENTION_NS = TimeUnit.SECONDS.toNanos(60);

    private static final double NS_PER_S = 1e9;
    private static final double MAX_LEASE_S = QuotaTolerance.MAX_LEASE_MS / 1e3;

    private final LongSupplier clockNs;
    private final QuotaTolerance tolerance;
    private final Map<String, Entry> buckets = new HashMap<>();
    private long grantsSinceNs;
    private long viewVersion;
    private long sweptNs;

    /**
     * @param viewVersion version of the view in which the bucket was last used
     */
    private record Entry(AllowanceBucket bucket, long viewVersion) {}

    /**
     * @param clockNs monotonic clock, in ns
     */
    public AllowanceGranter(LongSupplier clockNs, QuotaTolerance tolerance) {
        this.clockNs = clockNs;
        this.tolerance = tolerance;
        this.grantsSinceNs = clockNs.getAsLong();
        this.sweptNs = grantsSinceNs;
    }

    /**
     * Grants as much of {@code request} as the allowances permit.
     *
     * @param version version of the view by which the entry node chose this granter
     * @return the grants for the items of the request, in their order
     */
    public synchronized List<LeaseGrant> grant(LeaseRequest request, long version) {
        long nowNs = clockNs.getAsLong();
        if (version != viewVersion) {
            viewVersion = version;
            grantsSinceNs = nowNs;
        }
        removeIdle(nowNs);
        List<LeaseGrant> grants = new ArrayList<>();
        for (LeaseRequest.Item item : request.items()) {
            Entry entry = buckets.get(item.workspace());
            AllowanceBucket bucket = entry == null ? newBucket(item, nowNs) : entry.bucket();
            if (entry != null && version - entry.viewVersion() > 1 && !knowsWindow(nowNs)) {
                // Another storage node may have granted the savings of the bucket in between.
                bucket.forgetSavings();
            }
            buckets.put(item.workspace(), new Entry(bucket, version));
            grants.add(bucket.grant(request.node(), item, nowNs));
        }
        return grants;
    }

    /** Whether no other granter may have granted tokens that are used in the present window. */
    private boolean knowsWindow(long nowNs) {
        return (nowNs - grantsSinceNs) / NS_PER_S > tolerance.windowS() + MAX_LEASE_S;
    }

    private AllowanceBucket newBucket(LeaseRequest.Item item, long nowNs) {
        double rate = item.requestsPerSecond();
        double tokens =
                knowsWindow(nowNs)
                        ? tolerance.capacity(rate, item.burst())
                        : tolerance.restartTokens(rate, item.burst());
        return new AllowanceBucket(tolerance, item, tokens, nowNs);
    }

    private void removeIdle(long nowNs) {
        if (nowNs - sweptNs > IDLE_RETENTION_NS) {
            sweptNs = nowNs;
            buckets.values()
                    .removeIf(
                            entry -> entry.bucket().isFullAndIdleSince(nowNs - IDLE_RETENTION_NS));
        }
    }
}
