package org.skylarkmast.relay.storage;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.skylarkmast.http.HttpHandler;
import org.skylarkmast.http.HttpReply;
import org.skylarkmast.http.ServerRequest;
import org.skylarkmast.relay.ledger.CurrentView;
import org.skylarkmast.relay.ledger.LedgerCodec;
import org.skylarkmast.relay.ledger.LedgerOperation;
import org.skylarkmast.relay.ledger.LedgerView;
import org.skylarkmast.relay.ledger.StorageNodeClient;
import org.skylarkmast.relay.ledger.StreamOrigin;
import org.skylarkmast.relay.ledger.TurnRecord;
import org.skylarkmast.relay.ledger.Usage;
import org.skylarkmast.relay.limit.AllowanceGranter;
import org.skylarkmast.relay.limit.LeaseCodec;
import org.skylarkmast.relay.limit.LeaseGrant;
import org.skylarkmast.relay.limit.LeaseRelay;
import org.skylarkmast.relay.limit.SendGrant;
import org.skylarkmast.relay.limit.SendGrantCodec;
import org.skylarkmast.relay.limit.SendRateLimiter;
import org.skylarkmast.relay.loadreport.EntryNodeReport;
import org.skylarkmast.relay.loadreport.LoadReportAggregator;
import org.skylarkmast.relay.loadreport.LoadReportCodec;
import org.skylarkmast.relay.loadreport.LoadReportTotals;
import org.skylarkmast.relay.mirror.MirrorChanges;
import org.skylarkmast.relay.mirror.MirrorCodec;
import org.skylarkmast.relay.mirror.MirrorExchange;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Serves the calls of entry nodes and other storage nodes; thread-safe. */
public final class StorageNodeHandler implements HttpHandler {
    private static final Logger LOG = LoggerFactory.getLogger(StorageNodeHandler.class);
    private static final String PREFIX = "/ledger/";
    private static final int UNAVAILABLE = 503;

    /** Longest wait for a write to reach the disk; entry nodes time out earlier. */
    private static final long DISK_WRITE_TIMEOUT_MS = 2000;

    /** Size of texts at which a response stops adding turns, so that a call stays short. */
    private static final int MAX_TEXT_BYTES = 1 << 20;

    private final RecordIndex index;
    private final QuorumMembership membership;
    private final CurrentView views;
    private final LoadReportAggregator loadReports;
    private final MirrorExchange mirror;
    private final SendRateLimiter sendLimiter;
    private final AllowanceGranter granter;
    private final LeaseRelay leaseRelay;

    /** Creates a handler over {@code index}. */
    public StorageNodeHandler(
            RecordIndex index,
            QuorumMembership membership,
            CurrentView views,
            LoadReportAggregator loadReports,
            MirrorExchange mirror,
            SendRateLimiter sendLimiter,
            AllowanceGranter granter,
            LeaseRelay leaseRelay) {
        this.index = index;
        this.membership = membership;
        this.views = views;
        this.loadReports = loadReports;
        this.mirror = mirror;
        this.sendLimiter = sendLimiter;
        this.granter = granter;
        this.leaseRelay = leaseRelay;
    }

    @Override
    public HttpReply handle(ServerRequest call) {
        LedgerOperation operation = operation(call.path());
        if (operation == null) {
            return HttpReply.text(404, "no such operation\n");
        }
        try {
            if (operation == LedgerOperation.PING) {
                views.offer(LedgerCodec.decode(call.body(), LedgerCodec::readView));
                return reply(membership.status()::write);
            }
            if (operation == LedgerOperation.REPORT) {
                return LedgerCodec.decode(call.body(), this::report);
            }
            if (operation == LedgerOperation.CHANGES) {
                return LedgerCodec.decode(call.body(), this::changes);
            }
            if (operation == LedgerOperation.TALLIES) {
                return reply(out -> LoadReportCodec.writeTotals(out, loadReports.localTotals()));
            }
            long version = Long.parseLong(call.query().getOrDefault("view", "0"));
            LedgerView view = views.current();
            if (version < view.version()) {
                return newerViewReply(view);
            }
            if (version > view.version() || !mayServe(operation)) {
                return HttpReply.text(UNAVAILABLE, "not part of view " + version + "\n");
            }
            HttpReply reply = LedgerCodec.decode(call.body(), in -> answer(operation, version, in));
            // Others may have fetched the records of this view before the write was done.
            LedgerView viewAfter = views.current();
            boolean outdated = isWrite(operation) && viewAfter.version() != version;
            return outdated ? newerViewReply(viewAfter) : reply;
        } catch (IOException | NumberFormatException e) {
            return failureReply(operation, e);
        }
    }

    private static boolean isWrite(LedgerOperation operation) {
        return switch (operation) {
            case RESERVE, SETTLE, APPEND -> true;
            case USAGE, CHAIN, SUMMARY, FETCH, PING, REPORT, TALLIES, CHANGES -> false;
            case ADMIT, LEASE, RELAY_LEASE -> false;
        };
    }

    /** A storage node that has left the view still serves its copies to the remaining members. */
    private boolean mayServe(LedgerOperation operation) {
        return switch (operation) {
            case SUMMARY, FETCH -> membership.initialSyncDone();
            case RESERVE, USAGE, SETTLE, APPEND, CHAIN, PING, REPORT, TALLIES, CHANGES ->
                    membership.voting();
            case ADMIT, LEASE, RELAY_LEASE -> true;
        };
    }

    private HttpReply answer(LedgerOperation operation, long version, DataInputStream in)
            throws IOException {
        return switch (operation) {
            case RESERVE -> reserve(in);
            case USAGE -> {
                String program = in.readUTF();
                yield reply(out -> writeUsageReport(out, program, Set.of()));
            }
            case SETTLE -> {
                settle(in);
                yield reply(out -> out.writeBoolean(true));
            }
            case APPEND -> {
                CompletableFuture<Void> turnWritten = index.putTurn(LedgerCodec.readTurn(in));
                settle(in);
                awaitDurable(turnWritten);
                yield reply(out -> out.writeBoolean(true));
            }
            case CHAIN -> {
                RecordIndex.Chain chain = index.chain(in.readUTF(), MAX_TEXT_BYTES);
                yield reply(out -> writeChain(out, chain));
            }
            case SUMMARY -> reply(this::writeSummary);
            case FETCH -> fetch(in);
            case ADMIT -> {
                SendGrant grant = sendLimiter.decide(SendGrantCodec.readRequest(in));
                yield reply(out -> SendGrantCodec.writeGrant(out, grant));
            }
            case LEASE -> {
                List<LeaseGrant> grants = granter.grant(LeaseCodec.readRequest(in), version);
                yield reply(out -> LeaseCodec.writeGrants(out, grants));
            }
            case RELAY_LEASE -> {
                Optional<List<LeaseGrant>> grants =
                        leaseRelay.request(views.current(), LeaseCodec.readRequest(in));
                yield reply(out -> LeaseCodec.writeRelayed(out, grants));
            }
            // Handled before the view is checked.
            case PING, REPORT, TALLIES, CHANGES ->
                    throw new IllegalStateException(
                            "operation must be handled before the view is checked");
        };
    }

    private HttpReply changes(DataInputStream in) throws IOException {
        try {
            MirrorChanges changes = mirror.answer(MirrorCodec.readRequest(in));
            return reply(out -> MirrorCodec.write(out, changes));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return HttpReply.text(UNAVAILABLE, "ending\n");
        }
    }

    private HttpReply report(DataInputStream in) throws IOException {
        EntryNodeReport report = LoadReportCodec.readReport(in);
        loadReports.report(report);
        LoadReportTotals totals = loadReports.fleetTotalsFor(report.process());
        return reply(out -> LoadReportCodec.writeTotals(out, totals));
    }

    private HttpReply reserve(DataInputStream in) throws IOException {
        String program = in.readUTF();
        Usage usage = new Usage(in.readUTF(), in.readInt(), false);
        long retentionMs = in.readLong();
        Set<StreamOrigin> origins = LedgerCodec.readOrigins(in);
        // Messages of earlier releases end after any of these fields.
        String resumedAttempt = in.available() == 0 ? "" : in.readUTF();
        long remainingTimeMs = in.available() == 0 ? RecordIndex.UNKNOWN_TIME : in.readLong();
        List<CompletableFuture<Void>> writes = new ArrayList<>();
        if (!program.isEmpty()) {
            writes.add(
                    index.putUsage(
                            new RecordIndex.ProgramUsage(
                                    program, usage, retentionMs, remainingTimeMs),
                            true));
        }
        for (StreamOrigin origin : origins) {
            writes.add(index.putOrigin(usage.attempt(), origin, retentionMs));
        }
        awaitDurable(CompletableFuture.allOf(writes.toArray(new CompletableFuture<?>[0])));
        return reply(out -> writeUsageReport(out, program, index.origins(resumedAttempt)));
    }

    /** Entry nodes of earlier releases do not read the ended attempts. */
    private void writeUsageReport(DataOutputStream out, String program, Set<StreamOrigin> origins)
            throws IOException {
        LedgerCodec.writeUsages(out, index.usages(program));
        LedgerCodec.writeOrigins(out, origins);
        LedgerCodec.writeIds(out, index.endedAttempts(program));
    }

    /**
     * Does not wait for the disk: if the final count is lost, the reserved upper bound stays
     * counted.
     */
    private void settle(DataInputStream in) throws IOException {
        String program = in.readUTF();
        Usage usage = new Usage(in.readUTF(), in.readInt(), true);
        long retentionMs = in.readLong();
        if (!program.isEmpty()) {
            var _ =
                    index.putUsage(
                            new RecordIndex.ProgramUsage(
                                    program, usage, retentionMs, RecordIndex.UNKNOWN_TIME),
                            false);
        }
    }

    private HttpReply fetch(DataInputStream in) throws IOException {
        int count = in.readInt();
        List<TurnRecord> turns = new ArrayList<>();
        int bytes = 0;
        for (int i = 0; i < count && bytes < MAX_TEXT_BYTES; i++) {
            TurnRecord turn = index.turn(in.readUTF());
            if (turn != null) {
                turns.add(turn);
                bytes += turn.input().length + turn.output().length;
            }
        }
        return reply(out -> writeTurns(out, turns));
    }

    private void writeSummary(DataOutputStream out) throws IOException {
        List<String> ids = List.copyOf(index.turnIds());
        out.writeInt(ids.size());
        for (String id : ids) {
            out.writeUTF(id);
        }
        List<RecordIndex.ProgramUsage> usages = index.allUsages();
        out.writeInt(usages.size());
        for (RecordIndex.ProgramUsage usage : usages) {
            out.writeUTF(usage.program());
            LedgerCodec.writeUsages(out, List.of(usage.usage()));
            out.writeLong(usage.retentionMs());
        }
        List<RecordIndex.AttemptOrigins> origins = index.allOrigins();
        out.writeInt(origins.size());
        for (RecordIndex.AttemptOrigins attemptOrigins : origins) {
            out.writeUTF(attemptOrigins.attempt());
            LedgerCodec.writeOrigins(out, attemptOrigins.origins());
            out.writeLong(attemptOrigins.retentionMs());
        }
        // In the order of the usages; earlier releases do not read them.
        for (RecordIndex.ProgramUsage usage : usages) {
            out.writeLong(usage.remainingTimeMs());
        }
    }

    private static void writeChain(DataOutputStream out, RecordIndex.Chain chain)
            throws IOException {
        out.writeBoolean(chain.complete());
        writeTurns(out, chain.turns());
    }

    private static void writeTurns(DataOutputStream out, List<TurnRecord> turns)
            throws IOException {
        out.writeInt(turns.size());
        for (TurnRecord turn : turns) {
            LedgerCodec.writeTurn(out, turn);
        }
    }

    private static void awaitDurable(CompletableFuture<Void> written) throws IOException {
        try {
            written.get(DISK_WRITE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        } catch (ExecutionException | TimeoutException e) {
            throw new IOException("write failed or did not reach the disk in time", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted while waiting for a write to reach the disk", e);
        }
    }

    private static HttpReply reply(LedgerCodec.Writer writer) {
        return new HttpReply.Full(
                200, Map.of(), StorageNodeClient.MEDIA_TYPE, LedgerCodec.encode(writer));
    }

    private static HttpReply newerViewReply(LedgerView view) {
        return new HttpReply.Full(
                StorageNodeClient.STATUS_NEWER_VIEW,
                Map.of(),
                StorageNodeClient.MEDIA_TYPE,
                LedgerCodec.encode(out -> LedgerCodec.writeView(out, view)));
    }

    private static HttpReply failureReply(LedgerOperation operation, Exception cause) {
        LOG.atWarn()
                .addKeyValue("event", "ledger_call_failed")
                .addKeyValue("operation", operation)
                .setCause(cause)
                .log();
        return HttpReply.text(UNAVAILABLE, "failed\n");
    }

    private static LedgerOperation operation(String path) {
        for (LedgerOperation operation : LedgerOperation.values()) {
            if (path.equals(PREFIX + operation.path())) {
                return operation;
            }
        }
        return null;
    }
}
