package org.skylarkmast.relay.ledger;

import java.io.DataInputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Reads and writes the ledger through the storage nodes of the view in force; thread-safe. */
public final class LedgerClient implements TurnLedger {
    private static final Logger LOG = LoggerFactory.getLogger(LedgerClient.class);

    private static final long FIRST_QUORUM_POLL_MS = 20;

    private static final long RETRY_DELAY_MS = 40;

    /** Pause before a program's reservations are read again while one of them is contended. */
    private static final long CONTENTION_PAUSE_MS = 8;

    /** A settlement takes a few hundred bytes. */
    private static final int MAX_OUTSTANDING_SETTLEMENTS = 20_000;

    private final CurrentView views;
    private final StorageNodeClient storageNodes;
    private final String nearbyAddressPrefix;
    private final ExecutorService executor;
    private final long contentionWaitMs;
    private final QuorumCalls calls;
    private final SettlementQueue settlements;
    private final StorageNodeReachability reachability =
            new StorageNodeReachability(System::nanoTime);

    /**
     * A storage node's answer in either round of a reservation: the program's usages, in the first
     * round the origins of the stream that the attempt resumes, and the attempts that must have
     * ended.
     */
    private record UsageReport(
            List<Usage> usages, Set<StreamOrigin> resumedOrigins, Set<String> endedAttempts) {}

    /**
     * @param nearbyAddressPrefix address prefix of the storage nodes in this host's network; these
     *     are preferred for reads
     * @param executor runs the calls to storage nodes in parallel
     * @param contentionWaitMs longest wait of a reservation for concurrent ones of its program that
     *     are withdrawn
     */
    public LedgerClient(
            CurrentView views,
            StorageNodeClient storageNodes,
            String nearbyAddressPrefix,
            ExecutorService executor,
            long contentionWaitMs) {
        this.views = views;
        this.storageNodes = storageNodes;
        this.nearbyAddressPrefix = nearbyAddressPrefix;
        this.executor = executor;
        this.contentionWaitMs = contentionWaitMs;
        this.calls = new QuorumCalls(storageNodes, reachability, executor);
        this.settlements =
                new SettlementQueue(
                        this::trySettle, executor, System::nanoTime, MAX_OUTSTANDING_SETTLEMENTS);
    }

    @Override
    public ReserveResult reserve(Reservation reservation, long timeoutMs)
            throws InterruptedException {
        long endNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs);
        ReserveResult result;
        while (true) {
            result = tryReserve(reservation);
            boolean mayRetry = System.nanoTime() - endNs < 0 && reachable();
            if (result.outcome() != ReserveOutcome.UNAVAILABLE || !mayRetry) {
                break;
            }
            Thread.sleep(RETRY_DELAY_MS);
        }
        if (result.outcome() != ReserveOutcome.GRANTED && !reservation.program().isEmpty()) {
            settle(reservation.program(), reservation.attempt(), 0, reservation.retentionMs());
        }
        return result;
    }

    @Override
    public boolean reachable() {
        return reachability.hasQuorum(views.current());
    }

    @Override
    public boolean awaitFirstQuorum(long waitMs) throws InterruptedException {
        long endNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMs);
        while (!reachable() && !reachability.hadQuorum() && System.nanoTime() - endNs < 0) {
            Thread.sleep(FIRST_QUORUM_POLL_MS);
        }
        return reachable();
    }

    /** Records that another process answers at the address of a storage node. */
    public void recordOtherProcess(LedgerView.Member member) {
        reachability.recordOtherProcess(member);
    }

    /** Pings the storage nodes that are due for a probe; called several times a second. */
    public void probe() {
        LedgerView view = views.current();
        byte[] body = LedgerCodec.encode(out -> LedgerCodec.writeView(out, view));
        for (LedgerView.Member member : reachability.dueForProbe(view)) {
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
                        QuorumCalls.CALL_TIMEOUT_MS,
                        LedgerClient::readVoting);
        reachability.recordCall(member, voting != null);
    }

    /** Reads whether a storage node takes part in quorums: true, or null if it does not. */
    private static Boolean readVoting(DataInputStream in) throws IOException {
        LedgerCodec.readView(in);
        return in.readBoolean() ? Boolean.TRUE : null;
    }

    /**
     * Calls the nearest storage node, preferring those without a recent failed call; meant for
     * operations that any storage node can answer alone.
     *
     * @return its response, or null if the call failed or there is no view yet
     */
    public <T> T callNearest(
            LedgerOperation operation, byte[] body, long timeoutMs, LedgerCodec.Reader<T> reader) {
        LedgerView view = views.current();
        if (view.members().isEmpty()) {
            return null;
        }
        LedgerView.Member nearest = nearestFirst(view).getFirst();
        T response = storageNodes.call(nearest, view.version(), operation, body, timeoutMs, reader);
        reachability.recordCall(nearest, response != null);
        return response;
    }

    private ReserveResult tryReserve(Reservation reservation) throws InterruptedException {
        LedgerView view = views.current();
        int memberCount = view.members().size();
        ReserveResult unavailable = new ReserveResult(ReserveOutcome.UNAVAILABLE, Set.of());
        if (memberCount == 0) {
            return unavailable;
        }
        byte[] body =
                LedgerCodec.encode(
                        out -> {
                            out.writeUTF(reservation.program());
                            out.writeUTF(reservation.attempt());
                            out.writeInt(reservation.maxTokens());
                            out.writeLong(reservation.retentionMs());
                            LedgerCodec.writeOrigins(
                                    out,
                                    reservation.origin() == null
                                            ? Set.of()
                                            : Set.of(reservation.origin()));
                            out.writeUTF(reservation.resumedAttempt());
                            out.writeLong(reservation.remainingTimeMs());
                        });
        List<UsageReport> written =
                calls.callAll(
                        view, LedgerOperation.RESERVE, body, LedgerClient::readUsageReport, true);
        if (written.size() < view.writeQuorum()) {
            return unavailable;
        }
        Set<StreamOrigin> resumedOrigins = new HashSet<>();
        written.forEach(report -> resumedOrigins.addAll(report.resumedOrigins()));
        List<UsageReport> read = written;
        if (written.size() < memberCount) {
            // Without an answer from every storage node, a concurrent reservation may be missing
            // from
            // all the answers. A second read closes the gap: among concurrent reservations, the one
            // written last sees all others.
            read = readUsages(reservation.program(), view);
            if (read.size() < view.writeQuorum()) {
                return unavailable;
            }
        }
        BudgetRule.Decision decision = awaitWithdrawals(reservation, decide(reservation, read));
        ReserveOutcome outcome =
                switch (decision.verdict()) {
                    case GRANTED -> ReserveOutcome.GRANTED;
                    case HELD -> ReserveOutcome.HELD;
                    case EXHAUSTED -> ReserveOutcome.EXHAUSTED;
                };
        if (outcome != ReserveOutcome.GRANTED) {
            logDenied(reservation, decision);
        }
        return new ReserveResult(outcome, resumedOrigins);
    }

    private List<UsageReport> readUsages(String program, LedgerView view)
            throws InterruptedException {
        byte[] body = LedgerCodec.encode(out -> out.writeUTF(program));
        return calls.callAll(
                view, LedgerOperation.USAGE, body, LedgerClient::readUsageReport, false);
    }

    /**
     * Decides again on a reservation that others of its program deny, until it is granted or a
     * limit has passed.
     *
     * <p>Reservations that are written at the same moment count each other, so each may be denied
     * although some would fit. Those that have precedence stay and are read again, the others are
     * withdrawn at once. A reservation is granted only if it fits beside all that are open, so the
     * order decides who waits, not what is spent.
     */
    private BudgetRule.Decision awaitWithdrawals(Reservation reservation, BudgetRule.Decision first)
            throws InterruptedException {
        BudgetRule.Decision decision = first;
        long startedNs = System.nanoTime();
        while (decision.verdict() == BudgetRule.Verdict.HELD
                && mayWait(decision.precedence(), startedNs)) {
            Thread.sleep(CONTENTION_PAUSE_MS);
            LedgerView view = views.current();
            List<UsageReport> read = readUsages(reservation.program(), view);
            if (view.members().isEmpty() || read.size() < view.writeQuorum()) {
                break;
            }
            decision = decide(reservation, read);
        }
        return decision;
    }

    /** In the first half of the wait, others without precedence are expected to be withdrawn. */
    private boolean mayWait(BudgetRule.Precedence precedence, long startedNs) {
        long waitedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNs);
        return switch (precedence) {
            case FIRST -> waitedMs < contentionWaitMs;
            case FIRST_IF_OTHERS_WITHDRAW -> waitedMs < contentionWaitMs / 2;
            case NONE -> false;
        };
    }

    private static BudgetRule.Decision decide(Reservation reservation, List<UsageReport> reports) {
        Set<String> ended = new HashSet<>();
        reports.forEach(report -> ended.addAll(report.endedAttempts()));
        return BudgetRule.decide(
                reports.stream().map(UsageReport::usages).toList(),
                ended,
                reservation.attempt(),
                reservation.maxTokens(),
                reservation.budget());
    }

    private static void logDenied(Reservation reservation, BudgetRule.Decision decision) {
        LOG.atInfo()
                .addKeyValue("event", "reservation_denied")
                .addKeyValue("program", reservation.program())
                .addKeyValue("request", reservation.attempt())
                .addKeyValue("verdict", decision.verdict())
                .addKeyValue("budget", reservation.budget())
                .addKeyValue("maxTokens", reservation.maxTokens())
                .addKeyValue("settledTokens", decision.settledTokens())
                .addKeyValue("heldTokens", decision.heldTokens())
                .log();
    }

    @Override
    public void settle(String program, String attempt, int tokens, long retentionMs) {
        settlements.add(new Settlement(program, attempt, tokens, retentionMs));
    }

    private boolean trySettle(Settlement settlement) throws InterruptedException {
        LedgerView view = views.current();
        byte[] body = encodeSettlement(settlement);
        int acknowledged =
                calls.callAll(view, LedgerOperation.SETTLE, body, _ -> true, true).size();
        return !view.members().isEmpty() && acknowledged >= view.writeQuorum();
    }

    /** The number of settlements that no quorum has acknowledged yet. */
    public int outstandingSettlements() {
        return settlements.outstanding();
    }

    /**
     * Waits until a quorum has acknowledged all settlements, or the time-out has passed.
     *
     * @return the number of settlements that are left; the storage nodes go on counting their
     *     attempts at the most they could spend
     */
    public int awaitSettlements(long timeoutMs) throws InterruptedException {
        return settlements.awaitAcknowledged(timeoutMs);
    }

    @Override
    public boolean append(String program, TurnRecord turn, int tokens, long timeoutMs)
            throws InterruptedException {
        long endNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs);
        byte[] body =
                LedgerCodec.encode(
                        out -> {
                            LedgerCodec.writeTurn(out, turn);
                            out.write(
                                    encodeSettlement(
                                            new Settlement(
                                                    program,
                                                    turn.id(),
                                                    tokens,
                                                    turn.retentionMs())));
                        });
        while (true) {
            LedgerView view = views.current();
            List<Boolean> acknowledged =
                    calls.callAll(view, LedgerOperation.APPEND, body, _ -> true, false);
            if (!view.members().isEmpty() && acknowledged.size() >= view.writeQuorum()) {
                return true;
            }
            if (System.nanoTime() - endNs >= 0) {
                return false;
            }
            Thread.sleep(RETRY_DELAY_MS);
        }
    }

    @Override
    public ChainOutcome chain(String turnId, long timeoutMs) throws InterruptedException {
        long endNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs);
        List<TurnRecord> newestFirst = new ArrayList<>();
        String nextId = turnId;
        while (true) {
            ChainPart part = readPart(nextId);
            newestFirst.addAll(part.turns());
            if (part.complete()) {
                return new ChainOutcome.Found(newestFirst.reversed());
            }
            if (!part.turns().isEmpty()) {
                nextId = part.turns().getLast().previous();
                continue;
            }
            if (part.certainlyAbsent()) {
                if (newestFirst.isEmpty()) {
                    return new ChainOutcome.Absent();
                }
                LOG.atError()
                        .addKeyValue("event", "chain_broken")
                        .addKeyValue("turn", turnId)
                        .addKeyValue("missing", nextId)
                        .log();
                return new ChainOutcome.Uncertain();
            }
            if (System.nanoTime() - endNs >= 0 || !reachable()) {
                return new ChainOutcome.Uncertain();
            }
            Thread.sleep(RETRY_DELAY_MS);
        }
    }

    /**
     * A contiguous part of a chain.
     *
     * @param turns newest first
     * @param complete whether it reaches the start of the chain
     * @param certainlyAbsent whether enough storage nodes do not have the requested turn to rule
     *     out that it exists
     */
    private record ChainPart(List<TurnRecord> turns, boolean complete, boolean certainlyAbsent) {}

    private ChainPart readPart(String turnId) throws InterruptedException {
        LedgerView view = views.current();
        byte[] body = LedgerCodec.encode(out -> out.writeUTF(turnId));
        List<LedgerView.Member> members = nearestFirst(view);
        int absent = 0;
        for (int i = 0; i < members.size(); i++) {
            List<LedgerView.Member> group =
                    i == 0 ? List.of(members.get(0)) : members.subList(1, members.size());
            List<ChainPart> parts =
                    calls.callMembers(
                            group,
                            view,
                            LedgerOperation.CHAIN,
                            body,
                            LedgerClient::readPart,
                            false,
                            group.size());
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
        boolean certainlyAbsent = !members.isEmpty() && absent >= view.absenceQuorum();
        return new ChainPart(List.of(), false, certainlyAbsent);
    }

    private List<LedgerView.Member> nearestFirst(LedgerView view) {
        List<LedgerView.Member> members = new ArrayList<>(view.members());
        members.sort(
                java.util.Comparator.comparing(
                        member ->
                                (reachability.isSuspected(member) ? 2 : 0)
                                        + (member.address().startsWith(nearbyAddressPrefix)
                                                ? 0
                                                : 1)));
        return members;
    }

    private static byte[] encodeSettlement(Settlement settlement) {
        return LedgerCodec.encode(
                out -> {
                    out.writeUTF(settlement.program());
                    out.writeUTF(settlement.attempt());
                    out.writeInt(settlement.tokens());
                    out.writeLong(settlement.retentionMs());
                });
    }

    private static UsageReport readUsageReport(DataInputStream in) throws IOException {
        return new UsageReport(
                LedgerCodec.readUsages(in), LedgerCodec.readOrigins(in), LedgerCodec.readIds(in));
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
