package org.skylarkmast.relay.ledger;

import java.io.DataInputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Reads and writes the ledger through the storage nodes of the view in force; thread-safe. */
public final class LedgerClient implements TurnLedger {
    private static final Logger LOG = LoggerFactory.getLogger(LedgerClient.class);

    /**
     * Longest wait for one storage node; a sync takes a few ms, a silent connection never answers.
     */
    private static final long CALL_TIMEOUT_MS = 400;

    /** Wait for the slower storage nodes after a quorum answered, which saves a second round. */
    private static final long STRAGGLER_MS = 12;

    private static final long FIRST_POLL_MS = 20;

    private static final long RETRY_PAUSE_MS = 40;

    private static final int SETTLE_ROUNDS = 4;

    private final CurrentView views;
    private final StorageNodeClient storageNodes;
    private final String ownFailureDomainAddressHint;
    private final ExecutorService executor;
    private final StorageNodeReachability reach = new StorageNodeReachability(System::nanoTime);

    /** Two rounds of a reservation: what a storage node reports. */
    private record Report(List<Usage> usages) {}

    /**
     * @param nearby text that the address of storage nodes in this host's network starts with; they
     *     are read first
     * @param executor runs calls in parallel
     */
    public LedgerClient(
            CurrentView views,
            StorageNodeClient storageNodes,
            String nearby,
            ExecutorService executor) {
        this.views = views;
        this.storageNodes = storageNodes;
        this.ownFailureDomainAddressHint = nearby;
        this.executor = executor;
    }

    @Override
    public ReserveOutcome reserve(Reservation claim, long patienceMs) throws InterruptedException {
        long endNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(patienceMs);
        ReserveOutcome outcome = ReserveOutcome.UNAVAILABLE;
        while (outcome == ReserveOutcome.UNAVAILABLE) {
            outcome = tryReserve(claim);
            boolean goesOn = System.nanoTime() - endNs < 0 && reachable();
            if (outcome != ReserveOutcome.UNAVAILABLE || !goesOn) {
                break;
            }
            Thread.sleep(RETRY_PAUSE_MS);
        }
        if (outcome != ReserveOutcome.GRANTED) {
            settle(claim.program(), claim.attempt(), 0, claim.retentionMs());
        }
        return outcome;
    }

    @Override
    public boolean reachable() {
        return reach.quorum(views.current());
    }

    @Override
    public boolean awaitFirst(long waitMs) throws InterruptedException {
        long endNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMs);
        while (!reachable() && !reach.everReached() && System.nanoTime() - endNs < 0) {
            Thread.sleep(FIRST_POLL_MS);
        }
        return reachable();
    }

    /** Asks storage nodes that were not heard from for a time; called several times a second. */
    public void probe() {
        LedgerView view = views.current();
        byte[] body = LedgerCodec.encode(out -> LedgerCodec.writeView(out, view));
        for (LedgerView.Member member : reach.due(view)) {
            executor.execute(() -> probe(member, view, body));
        }
    }

    private void probe(LedgerView.Member member, LedgerView view, byte[] body) {
        Boolean voting =
                storageNodes.call(
                        member,
                        view.version(),
                        LedgerOperation.PING,
                        body,
                        CALL_TIMEOUT_MS,
                        LedgerClient::readVoting);
        reach.note(member, voting != null);
    }

    /** Reads whether a storage node takes part in quorums; null if it does not. */
    private static Boolean readVoting(DataInputStream in) throws IOException {
        LedgerCodec.readView(in);
        return in.readBoolean() ? Boolean.TRUE : null;
    }

    /**
     * Asks the nearest storage node that answers, of what any storage node may tell.
     *
     * @return its answer, or null
     */
    public <T> T askNearest(
            LedgerOperation operation, byte[] body, long timeoutMs, LedgerCodec.Reader<T> reader) {
        LedgerView view = views.current();
        if (view.members().isEmpty()) {
            return null;
        }
        LedgerView.Member nearest = nearestFirst(view).getFirst();
        T answer = storageNodes.call(nearest, view.version(), operation, body, timeoutMs, reader);
        reach.note(nearest, answer != null);
        return answer;
    }

    private ReserveOutcome tryReserve(Reservation claim) throws InterruptedException {
        LedgerView view = views.current();
        int all = view.members().size();
        if (all == 0) {
            return ReserveOutcome.UNAVAILABLE;
        }
        byte[] body =
                LedgerCodec.encode(
                        out -> {
                            out.writeUTF(claim.program());
                            out.writeUTF(claim.attempt());
                            out.writeInt(claim.maxTokens());
                            out.writeLong(claim.retentionMs());
                        });
        List<Report> written =
                gather(view, LedgerOperation.RESERVE, body, LedgerClient::readReport, true);
        if (written.size() < view.writeQuorum()) {
            return ReserveOutcome.UNAVAILABLE;
        }
        List<Report> read = written;
        if (written.size() < all) {
            // Not all storage nodes ordered this claim against the others, so look once more: of
            // several claims the one written last sees the rest.
            byte[] program = LedgerCodec.encode(out -> out.writeUTF(claim.program()));
            read = gather(view, LedgerOperation.USAGE, program, LedgerClient::readReport, false);
            if (read.size() < view.writeQuorum()) {
                return ReserveOutcome.UNAVAILABLE;
            }
        }
        List<List<Usage>> reports = read.stream().map(Report::usages).toList();
        return switch (BudgetRule.decide(
                reports, claim.attempt(), claim.maxTokens(), claim.budget())) {
            case GRANTED -> ReserveOutcome.GRANTED;
            case HELD -> ReserveOutcome.HELD;
            case EXHAUSTED -> ReserveOutcome.EXHAUSTED;
        };
    }

    @Override
    public void settle(String program, String attempt, int tokens, long retentionMs) {
        byte[] body = settlement(program, attempt, tokens, retentionMs);
        executor.execute(
                () -> {
                    try {
                        for (int round = 0; round < SETTLE_ROUNDS; round++) {
                            LedgerView view = views.current();
                            List<Boolean> taken =
                                    gather(view, LedgerOperation.SETTLE, body, _ -> true, true);
                            if (taken.size() >= view.writeQuorum()) {
                                return;
                            }
                            Thread.sleep(RETRY_PAUSE_MS << round);
                        }
                        LOG.atWarn()
                                .addKeyValue("event", "settlement_lost")
                                .addKeyValue("program", program)
                                .addKeyValue("request", attempt)
                                .addKeyValue("tokens", tokens)
                                .log();
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                });
    }

    @Override
    public boolean append(String program, TurnRecord turn, int tokens, long patienceMs)
            throws InterruptedException {
        long endNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(patienceMs);
        byte[] body =
                LedgerCodec.encode(
                        out -> {
                            LedgerCodec.writeTurn(out, turn);
                            out.write(settlement(program, turn.id(), tokens, turn.retentionMs()));
                        });
        while (true) {
            LedgerView view = views.current();
            List<Boolean> kept = gather(view, LedgerOperation.APPEND, body, _ -> true, false);
            if (!view.members().isEmpty() && kept.size() >= view.writeQuorum()) {
                return true;
            }
            if (System.nanoTime() - endNs >= 0) {
                return false;
            }
            Thread.sleep(RETRY_PAUSE_MS);
        }
    }

    @Override
    public ChainOutcome chain(String turnId, long patienceMs) throws InterruptedException {
        long endNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(patienceMs);
        List<TurnRecord> newestFirst = new ArrayList<>();
        String wanted = turnId;
        while (true) {
            ChainPart part = readPart(wanted);
            newestFirst.addAll(part.turns());
            if (part.complete()) {
                return new ChainOutcome.Found(newestFirst.reversed());
            }
            if (!part.turns().isEmpty()) {
                wanted = part.turns().getLast().previous();
                continue;
            }
            if (part.certainlyAbsent()) {
                if (newestFirst.isEmpty()) {
                    return new ChainOutcome.Absent();
                }
                LOG.atError()
                        .addKeyValue("event", "chain_broken")
                        .addKeyValue("turn", turnId)
                        .addKeyValue("missing", wanted)
                        .log();
                return new ChainOutcome.Uncertain();
            }
            if (System.nanoTime() - endNs >= 0 || !reachable()) {
                return new ChainOutcome.Uncertain();
            }
            Thread.sleep(RETRY_PAUSE_MS);
        }
    }

    /**
     * A stretch of a chain.
     *
     * @param turns newest first
     * @param complete whether it reaches the chain's start
     * @param certainlyAbsent whether enough storage nodes know of no such turn
     */
    private record ChainPart(List<TurnRecord> turns, boolean complete, boolean certainlyAbsent) {}

    private ChainPart readPart(String turnId) throws InterruptedException {
        LedgerView view = views.current();
        byte[] body = LedgerCodec.encode(out -> out.writeUTF(turnId));
        List<LedgerView.Member> order = nearestFirst(view);
        int absent = 0;
        for (int i = 0; i < order.size(); i++) {
            List<LedgerView.Member> asked =
                    i == 0 ? List.of(order.get(0)) : order.subList(1, order.size());
            List<ChainPart> parts =
                    gatherFrom(
                            asked,
                            view,
                            LedgerOperation.CHAIN,
                            body,
                            LedgerClient::readPart,
                            false,
                            asked.size());
            for (ChainPart part : parts) {
                if (!part.turns().isEmpty()) {
                    return part;
                }
                absent++;
            }
            if (i == 1) {
                break;
            }
        }
        boolean certain = !order.isEmpty() && absent >= view.certaintyQuorum();
        return new ChainPart(List.of(), false, certain);
    }

    private List<LedgerView.Member> nearestFirst(LedgerView view) {
        List<LedgerView.Member> order = new ArrayList<>(view.members());
        order.sort(
                java.util.Comparator.comparing(
                        member ->
                                (reach.suspected(member) ? 2 : 0)
                                        + (member.address().startsWith(ownFailureDomainAddressHint)
                                                ? 0
                                                : 1)));
        return order;
    }

    private <T> List<T> gather(
            LedgerView view,
            LedgerOperation operation,
            byte[] body,
            LedgerCodec.Reader<T> reader,
            boolean wantAll)
            throws InterruptedException {
        return gatherFrom(
                view.members(), view, operation, body, reader, wantAll, view.writeQuorum());
    }

    private <T> List<T> gatherFrom(
            List<LedgerView.Member> members,
            LedgerView view,
            LedgerOperation operation,
            byte[] body,
            LedgerCodec.Reader<T> reader,
            boolean wantAll,
            int enough)
            throws InterruptedException {
        Gathering<T> gathering = new Gathering<>(members.size());
        for (LedgerView.Member member : members) {
            executor.execute(
                    () -> {
                        T answer = null;
                        try {
                            answer =
                                    storageNodes.call(
                                            member,
                                            view.version(),
                                            operation,
                                            body,
                                            CALL_TIMEOUT_MS,
                                            reader);
                        } finally {
                            reach.note(member, answer != null);
                            gathering.ended(answer);
                        }
                    });
        }
        List<T> answers = gathering.await(enough, CALL_TIMEOUT_MS * 2);
        int all = members.size();
        if (wantAll && answers.size() < all) {
            int expected = 0;
            for (LedgerView.Member member : members) {
                expected += reach.suspected(member) ? 0 : 1;
            }
            if (answers.size() < expected) {
                answers = gathering.await(expected, STRAGGLER_MS);
            }
        }
        return answers;
    }

    private static byte[] settlement(String program, String attempt, int tokens, long retentionMs) {
        return LedgerCodec.encode(
                out -> {
                    out.writeUTF(program);
                    out.writeUTF(attempt);
                    out.writeInt(tokens);
                    out.writeLong(retentionMs);
                });
    }

    private static Report readReport(DataInputStream in) throws IOException {
        return new Report(LedgerCodec.readUsages(in));
    }

    private static ChainPart readPart(DataInputStream in) throws IOException {
        boolean complete = in.readBoolean();
        int count = in.readInt();
        List<TurnRecord> turns = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            turns.add(LedgerCodec.readTurn(in));
        }
        return new ChainPart(turns, complete, false);
    }
}
