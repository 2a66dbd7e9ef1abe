package org.skylarkmast.daemon.admin;

import java.util.List;

/** Supplies the status of this node. */
@FunctionalInterface
public interface StatusSource {

    /** Returns the current status. */
    NodeStatus status();

    /**
     * The status of a node.
     *
     * @param storeReachable whether the key-value service is reachable, judged by this node's lease
     *     being valid
     * @param programsHeld programs in memory
     * @param callsUnderWay calls sent to targets and not answered yet
     * @param callsQueued calls waiting for a runner
     */
    record NodeStatus(
            String node,
            String incarnation,
            String failureDomain,
            boolean ready,
            boolean draining,
            boolean storeReachable,
            long configurationRevision,
            int partitionsOwned,
            int programsHeld,
            int callsUnderWay,
            int callsQueued,
            List<MemberRow> members,
            List<RunnerRow> runners) {

        public NodeStatus {
            members = List.copyOf(members);
            runners = List.copyOf(runners);
        }
    }

    /**
     * A member of the cluster in this node's view.
     *
     * @param state {@code LIVE} or {@code LEAVING}
     */
    record MemberRow(String node, String incarnation, String failureDomain, String state) {}

    /**
     * A runner in this node's view.
     *
     * @param state health, such as {@code HEALTHY}, {@code EJECTED} or {@code LEAVING}
     * @param callsUnderWay calls in flight from this node to the runner
     * @param concurrencyLimit maximum number of concurrent calls from this node to the runner
     */
    record RunnerRow(
            String target,
            String runner,
            String failureDomain,
            String state,
            int callsUnderWay,
            int concurrencyLimit) {}
}
