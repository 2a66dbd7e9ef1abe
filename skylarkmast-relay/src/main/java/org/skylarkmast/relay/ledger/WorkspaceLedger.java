package org.skylarkmast.relay.ledger;

/**
 * The part of the ledger that belongs to one workspace: its identifiers carry the workspace's name,
 * so that no workspace reads, spends or blocks what belongs to another. Thread-safe.
 *
 * <p>The first character of the prefix cannot occur in an identifier of a caller, since control
 * characters are not allowed in header fields, and the length tells where the name ends. So no
 * identifier without a workspace, and none of another workspace, equals one of this workspace.
 */
public final class WorkspaceLedger implements TurnLedger {
    private static final char MARK = '\u0001';

    private final TurnLedger ledger;
    private final String prefix;

    /**
     * @param ledger holds the records of all workspaces
     * @param workspace name of the workspace
     */
    public WorkspaceLedger(TurnLedger ledger, String workspace) {
        this.ledger = ledger;
        this.prefix = MARK + Integer.toString(workspace.length()) + ":" + workspace + ":";
    }

    /** Empty stands for no program, no previous turn or no resumed attempt. */
    private String prefixed(String identifier) {
        return identifier.isEmpty() ? "" : prefix + identifier;
    }

    @Override
    public boolean reachable() {
        return ledger.reachable();
    }

    @Override
    public boolean awaitFirstQuorum(long waitMs) throws InterruptedException {
        return ledger.awaitFirstQuorum(waitMs);
    }

    @Override
    public ReserveResult reserve(Reservation reservation, long timeoutMs)
            throws InterruptedException {
        return ledger.reserve(
                new Reservation(
                        prefixed(reservation.program()),
                        prefixed(reservation.attempt()),
                        reservation.maxTokens(),
                        reservation.budget(),
                        reservation.retentionMs(),
                        reservation.origin(),
                        prefixed(reservation.resumedAttempt()),
                        reservation.remainingTimeMs()),
                timeoutMs);
    }

    @Override
    public void settle(String program, String attempt, int tokens, long retentionMs) {
        ledger.settle(prefixed(program), prefixed(attempt), tokens, retentionMs);
    }

    @Override
    public boolean append(String program, TurnRecord turn, int tokens, long timeoutMs)
            throws InterruptedException {
        TurnRecord record =
                new TurnRecord(
                        prefixed(turn.id()),
                        prefixed(turn.previous()),
                        turn.input(),
                        turn.output(),
                        turn.retentionMs());
        return ledger.append(prefixed(program), record, tokens, timeoutMs);
    }

    @Override
    public ChainOutcome chain(String turnId, long timeoutMs) throws InterruptedException {
        return ledger.chain(prefixed(turnId), timeoutMs);
    }
}
