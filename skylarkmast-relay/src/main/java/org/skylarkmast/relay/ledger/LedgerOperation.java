package org.skylarkmast.relay.ledger;

/** Operations that a storage node serves. */
public enum LedgerOperation {
    /** Records a reservation and returns the program's usages. */
    RESERVE("reserve"),
    /** Returns a program's usages. */
    USAGE("usage"),
    /** Records the final token count of an attempt. */
    SETTLE("settle"),
    /** Stores a turn and records its final token count. */
    APPEND("append"),
    /** Returns a turn and its predecessors. */
    CHAIN("chain"),
    /** Lists the records of the storage node, for another storage node. */
    SUMMARY("summary"),
    /** Returns turns by id, for another storage node. */
    FETCH("fetch"),
    /** Exchanges state between storage nodes. */
    PING("ping"),
    /** Takes an entry node's load reports on runners and returns those of the whole fleet. */
    REPORT("report"),
    /** Returns recent changes of the key-value service. */
    CHANGES("changes"),
    /** Returns the load reports of the storage node's own entry nodes, for another storage node. */
    TALLIES("tallies"),
    /** Grants or denies an entry node's send to a runner with a rate limit. */
    ADMIT("admit"),
    /** Leases tokens of workspaces' allowances to an entry node. */
    LEASE("lease"),
    /** Passes a request for leases on, for an entry node that does not reach the granter. */
    RELAY_LEASE("relay-lease");

    private final String path;

    LedgerOperation(String path) {
        this.path = path;
    }

    /** The last segment of the operation's URL path. */
    public String path() {
        return path;
    }
}
