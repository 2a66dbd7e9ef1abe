package org.skylarkmast.relay.ledger;

/** What a storage node is asked for. */
public enum LedgerOperation {
    /** Counts a reservation and tells what the program uses. */
    RESERVE("reserve"),
    /** Tells what a program uses. */
    USAGE("usage"),
    /** Takes the final count of an attempt. */
    SETTLE("settle"),
    /** Keeps a turn and takes its final count. */
    APPEND("append"),
    /** Returns a turn with those before it. */
    CHAIN("chain"),
    /** Lists what the storage node holds, for another storage node. */
    SUMMARY("summary"),
    /** Returns turns by id, for another storage node. */
    FETCH("fetch"),
    /** Exchanges state between storage nodes. */
    PING("ping"),
    /** Takes what an entry node saw of runners and tells what the fleet saw. */
    REPORT("report"),
    /** Tells what is new in the key-value service. */
    CHANGES("changes"),
    /** Tells another storage node what its entry nodes saw of runners. */
    TALLIES("tallies");

    private final String path;

    LedgerOperation(String path) {
        this.path = path;
    }

    /** Last part of its URL path. */
    public String path() {
        return path;
    }
}
