package org.skylarkmast.daemon.admin;

import java.util.List;

/** Tells the state of this node. */
@FunctionalInterface
public interface StatusSource {

    /** The state now. */
    NodeStatus status();

    /**
     * The state of a node.
     *
     * @param storeReachable whether the key-value service answered last time
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
     * A node as this one sees it.
     *
     * @param state such as {@code LIVE}
     */
    record MemberRow(String node, String incarnation, String failureDomain, String state) {}

    /**
     * A runner as this node sees it.
     *
     * @param state such as {@code HEALTHY}, {@code EJECTED} or {@code LEAVING}
     * @param callsUnderWay calls of this node on it
     * @param concurrencyLimit calls of this node that it may have at once
     */
    record RunnerRow(
            String target,
            String runner,
            String failureDomain,
            String state,
            int callsUnderWay,
            int concurrencyLimit) {}
}
