package org.skylarkmast.bench.cluster;

import java.util.ArrayList;
import java.util.List;

/**
 * The processes of a cluster and its configured limits.
 *
 * @param failureDomains names; nodes and runners are assigned to them in rotation
 * @param engines speeds of the model engines; each engine is one runner
 * @param services number of runners of the plain service
 * @param workspaces names; all workspaces have the same templates
 * @param budgetTokens budget of every program, in tokens
 * @param budgetServiceCalls budget of every program, in calls to plain services
 * @param leaseTtlMs time to live of the lease behind a node's session
 * @param callTimeoutMs maximum duration of a call
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

    /** The speed of a model engine. */
    public record EngineSpeed(int prefillTokensPerSecond, int decodeTokensPerSecond) {}

    /** The smallest cluster with several failure domains in which ownership can move. */
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

    /** Returns this shape with a different budget for each program. */
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

    /** Returns the failure domain of the process at {@code index} among those of its kind. */
    public String failureDomain(int index) {
        return failureDomains.get(index % failureDomains.size());
    }

    /** Returns engines whose speeds differ by a factor of up to three. */
    private static List<EngineSpeed> engines(int count) {
        List<EngineSpeed> speeds = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            int factor = 1 + i % 3;
            speeds.add(new EngineSpeed(4_000 * factor, 100 * factor));
        }
        return speeds;
    }
}
