package org.skylarkmast.bench.cluster;

import java.util.ArrayList;
import java.util.List;

/**
 * The machines of a cluster and the limits it is configured with.
 *
 * @param failureDomains names that nodes and runners are spread over in turn
 * @param engines model engines' speeds; each is one runner
 * @param services runners of the plain service
 * @param workspaces names; each has the same templates
 * @param budgetTokens budget of every program, in tokens
 * @param budgetServiceCalls budget of every program, in calls to plain services
 * @param leaseTtlMs lease of a node's session
 * @param callTimeoutMs time one call may take
 */
public record ClusterShape(
        int nodes,
        List<String> failureDomains,
        List<EngineSpeed> engines,
        int services,
        List<String> workspaces,
        long budgetTokens,
        int budgetServiceCalls,
        long leaseTtlMs,
        long callTimeoutMs) {

    private static final long BUDGET_TOKENS = 200_000;
    private static final int BUDGET_SERVICE_CALLS = 200;
    private static final long LEASE_TTL_MS = 5_000;
    private static final long CALL_TIMEOUT_MS = 60_000;

    public ClusterShape {
        failureDomains = List.copyOf(failureDomains);
        engines = List.copyOf(engines);
        workspaces = List.copyOf(workspaces);
    }

    /** Speed of one engine's runner. */
    public record EngineSpeed(int prefillTokensPerSecond, int decodeTokensPerSecond) {}

    /** The smallest cluster in which ownership moves and domains differ. */
    public static ClusterShape small() {
        return new ClusterShape(
                3,
                List.of("a", "b", "c"),
                engines(2),
                2,
                List.of("workshops", "consortium"),
                BUDGET_TOKENS,
                BUDGET_SERVICE_CALLS,
                LEASE_TTL_MS,
                CALL_TIMEOUT_MS);
    }

    /** Four failure domains, seven nodes, six engines and six service runners. */
    public static ClusterShape workshops() {
        return new ClusterShape(
                7,
                List.of("bangkok-1", "bangkok-2", "nonthaburi", "ayutthaya"),
                engines(6),
                6,
                List.of("workshops"),
                BUDGET_TOKENS,
                BUDGET_SERVICE_CALLS,
                LEASE_TTL_MS,
                CALL_TIMEOUT_MS);
    }

    /** Three failure domains, six nodes, eight engines and six service runners. */
    public static ClusterShape consortium() {
        return new ClusterShape(
                6,
                List.of("miraflores", "san-isidro", "surco"),
                engines(8),
                6,
                List.of("consortium"),
                BUDGET_TOKENS,
                BUDGET_SERVICE_CALLS,
                LEASE_TTL_MS,
                CALL_TIMEOUT_MS);
    }

    /** The same shape with another budget for each program. */
    public ClusterShape withBudget(long tokens, int serviceCalls) {
        return new ClusterShape(
                nodes,
                failureDomains,
                engines,
                services,
                workspaces,
                tokens,
                serviceCalls,
                leaseTtlMs,
                callTimeoutMs);
    }

    /** The failure domain of the {@code index}-th machine of a kind. */
    public String domain(int index) {
        return failureDomains.get(index % failureDomains.size());
    }

    /** Engines whose speeds differ up to three-fold. */
    private static List<EngineSpeed> engines(int count) {
        List<EngineSpeed> speeds = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            int factor = 1 + i % 3;
            speeds.add(new EngineSpeed(4_000 * factor, 100 * factor));
        }
        return speeds;
    }
}
