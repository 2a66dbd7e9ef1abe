package org.skylarkmast.relay.warmup;

import java.io.DataInputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.skylarkmast.http.HttpHandler;
import org.skylarkmast.http.HttpReply;
import org.skylarkmast.http.ServerRequest;
import org.skylarkmast.relay.ledger.LedgerCodec;
import org.skylarkmast.relay.ledger.LedgerOperation;
import org.skylarkmast.relay.ledger.LedgerView;
import org.skylarkmast.relay.ledger.StorageNodeClient;
import org.skylarkmast.relay.ledger.TurnRecord;
import org.skylarkmast.relay.ledger.Usage;

/**
 * Answers the calls to storage nodes of a node that is warmed up: grants each reservation and keeps
 * turns in memory. Thread-safe.
 */
final class WarmUpLedger implements HttpHandler {
    static final String PREFIX = "/ledger/";
    private static final int UNAVAILABLE = 503;

    private final Map<String, TurnRecord> turns = new ConcurrentHashMap<>();

    @Override
    public HttpReply handle(ServerRequest call) {
        for (LedgerOperation operation : LedgerOperation.values()) {
            if (call.path().equals(PREFIX + operation.path())) {
                try {
                    return LedgerCodec.decode(call.body(), in -> answer(operation, in));
                } catch (IOException e) {
                    return HttpReply.text(UNAVAILABLE, "unreadable\n");
                }
            }
        }
        return HttpReply.text(UNAVAILABLE, "no such operation\n");
    }

    private HttpReply answer(LedgerOperation operation, DataInputStream in) throws IOException {
        return switch (operation) {
            case PING -> {
                LedgerView view = LedgerCodec.readView(in);
                yield reply(
                        out -> {
                            LedgerCodec.writeView(out, view);
                            out.writeBoolean(true);
                            out.writeLong(view.version());
                        });
            }
            case RESERVE -> {
                in.readUTF();
                Usage usage = new Usage(in.readUTF(), in.readInt(), false);
                yield reply(
                        out -> {
                            LedgerCodec.writeUsages(out, List.of(usage));
                            LedgerCodec.writeOrigins(out, Set.of());
                            LedgerCodec.writeIds(out, Set.of());
                        });
            }
            case SETTLE -> reply(out -> out.writeBoolean(true));
            case APPEND -> {
                TurnRecord turn = LedgerCodec.readTurn(in);
                turns.put(turn.id(), turn);
                yield reply(out -> out.writeBoolean(true));
            }
            case CHAIN -> chain(in.readUTF());
            // Periodic calls, which go on without an answer.
            case USAGE, SUMMARY, FETCH, REPORT, TALLIES, CHANGES, ADMIT ->
                    HttpReply.text(UNAVAILABLE, "not served\n");
        };
    }

    /** Returns the turn {@code id} and those before it, newest first. */
    private HttpReply chain(String id) {
        List<TurnRecord> chain = new ArrayList<>();
        for (TurnRecord turn = turns.get(id); turn != null; turn = turns.get(turn.previous())) {
            chain.add(turn);
        }
        return reply(
                out -> {
                    out.writeBoolean(!chain.isEmpty());
                    out.writeInt(chain.size());
                    for (TurnRecord turn : chain) {
                        LedgerCodec.writeTurn(out, turn);
                    }
                });
    }

    private static HttpReply reply(LedgerCodec.Writer writer) {
        return new HttpReply.Full(
                200, Map.of(), StorageNodeClient.MEDIA_TYPE, LedgerCodec.encode(writer));
    }
}
