package org.skylarkmast.relay.storage;

import java.io.DataInputStream;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;
import org.skylarkmast.relay.ledger.LedgerCodec;
import org.skylarkmast.relay.ledger.TurnRecord;
import org.skylarkmast.relay.ledger.Usage;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What a storage node holds: the place of each turn in the log, and each program's usages.
 *
 * <p>Thread-safe. Memory grows with the number of records, not with their texts.
 */
public final class RecordIndex implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(RecordIndex.class);

    /**
     * Time that records are kept beyond their retention: hosts' clocks differ by seconds, and a
     * turn must not vanish between its caller's last retry and the answer.
     */
    private static final long EXTRA_RETENTION_MS = 30_000;

    private static final int TURN = 1;
    private static final int USAGE = 2;

    private final LongSupplier wallClockMs;
    private final Map<String, TurnPlace> turns = new HashMap<>();
    private final Map<String, Program> programs = new HashMap<>();
    private final RecordLog log;

    private record TurnPlace(String previous, RecordLog.Location location, long expiresAtMs) {}

    private static final class Program {
        final Map<String, Usage> usages = new HashMap<>();
        long expiresAtMs;
    }

    /** A usage with the program it belongs to. */
    public record ProgramUsage(String program, Usage usage, long retentionMs) {}

    /** A stretch of a chain, newest turn first. */
    public record Chain(List<TurnRecord> turns, boolean complete) {
        public Chain {
            turns = List.copyOf(turns);
        }
    }

    /**
     * Opens the index over the log in {@code folder}.
     *
     * @throws IOException if the log cannot be opened
     */
    public RecordIndex(Path folder, LongSupplier wallClockMs) throws IOException {
        this.wallClockMs = wallClockMs;
        Map<Long, Long> neededUntilMs = new HashMap<>();
        this.log =
                new RecordLog(
                        folder,
                        (location, bytes) ->
                                neededUntilMs.merge(
                                        location.segment(), replay(location, bytes), Math::max));
        neededUntilMs.forEach(log::keepUntil);
    }

    /** Keeps a turn; completes once it is on disk. A turn held already is not written again. */
    public CompletableFuture<Void> putTurn(TurnRecord turn) {
        synchronized (this) {
            if (turns.containsKey(turn.id())) {
                return CompletableFuture.completedFuture(null);
            }
        }
        long expiresAtMs = expiry(turn.retentionMs());
        byte[] entry =
                LedgerCodec.encode(
                        out -> {
                            out.writeByte(TURN);
                            out.writeLong(expiresAtMs);
                            LedgerCodec.writeTurn(out, turn);
                        });
        return log.append(entry, true, expiresAtMs)
                .thenAccept(
                        location -> {
                            synchronized (this) {
                                turns.putIfAbsent(
                                        turn.id(),
                                        new TurnPlace(turn.previous(), location, expiresAtMs));
                            }
                        });
    }

    /**
     * Takes a usage; a settled one replaces an open one, never the reverse.
     *
     * @param durable whether the result waits until it is on disk
     */
    public CompletableFuture<Void> putUsage(
            String program, Usage usage, long retentionMs, boolean durable) {
        long expiresAtMs = expiry(retentionMs);
        synchronized (this) {
            if (!merge(program, usage, expiresAtMs)) {
                return CompletableFuture.completedFuture(null);
            }
        }
        byte[] entry =
                LedgerCodec.encode(
                        out -> {
                            out.writeByte(USAGE);
                            out.writeLong(expiresAtMs);
                            out.writeUTF(program);
                            LedgerCodec.writeUsages(out, List.of(usage));
                        });
        return log.append(entry, durable, expiresAtMs).thenAccept(location -> {});
    }

    /** The usages of a program. */
    public synchronized List<Usage> usages(String program) {
        Program found = programs.get(program);
        return found == null ? List.of() : List.copyOf(found.usages.values());
    }

    /**
     * The turn {@code id} and those before it, as far as they are held.
     *
     * @throws IOException if the log cannot be read
     */
    public Chain chain(String id) throws IOException {
        List<TurnRecord> chain = new ArrayList<>();
        String next = id;
        while (!next.isEmpty()) {
            TurnRecord turn = turn(next);
            if (turn == null) {
                return new Chain(chain, false);
            }
            chain.add(turn);
            next = turn.previous();
        }
        return new Chain(chain, true);
    }

    /**
     * The turn {@code id}, or null.
     *
     * @throws IOException if the log cannot be read
     */
    public TurnRecord turn(String id) throws IOException {
        TurnPlace place;
        synchronized (this) {
            place = turns.get(id);
        }
        if (place == null) {
            return null;
        }
        byte[] entry = log.read(place.location());
        return LedgerCodec.decode(
                entry,
                in -> {
                    in.readByte();
                    in.readLong();
                    return LedgerCodec.readTurn(in);
                });
    }

    /** Ids of all turns held. */
    public synchronized Set<String> turnIds() {
        return new HashSet<>(turns.keySet());
    }

    /** All usages held, with the time each is still needed. */
    public synchronized List<ProgramUsage> allUsages() {
        long nowMs = wallClockMs.getAsLong();
        List<ProgramUsage> all = new ArrayList<>();
        programs.forEach(
                (name, program) -> {
                    long leftMs = Math.max(0, program.expiresAtMs - nowMs - EXTRA_RETENTION_MS);
                    program.usages
                            .values()
                            .forEach(usage -> all.add(new ProgramUsage(name, usage, leftMs)));
                });
        return all;
    }

    /** Drops what is past its time. */
    public void expire() {
        long nowMs = wallClockMs.getAsLong();
        synchronized (this) {
            turns.values().removeIf(place -> place.expiresAtMs() < nowMs);
            programs.values().removeIf(program -> program.expiresAtMs < nowMs);
        }
        log.trim(nowMs);
    }

    /** Turns held. */
    public synchronized int turnCount() {
        return turns.size();
    }

    @Override
    public void close() {
        log.close();
    }

    private long replay(RecordLog.Location location, byte[] bytes) {
        try {
            return LedgerCodec.decode(bytes, in -> replay(location, in));
        } catch (IOException e) {
            // The checksum held, so this is an entry of another release.
            LOG.atError()
                    .addKeyValue("event", "unknown_log_entry")
                    .addKeyValue("location", location)
                    .setCause(e)
                    .log();
            return 0;
        }
    }

    private long replay(RecordLog.Location location, DataInputStream in) throws IOException {
        int type = in.readByte();
        long expiresAtMs = in.readLong();
        switch (type) {
            case TURN -> {
                TurnRecord turn = LedgerCodec.readTurn(in);
                turns.put(turn.id(), new TurnPlace(turn.previous(), location, expiresAtMs));
            }
            case USAGE -> {
                String program = in.readUTF();
                for (Usage usage : LedgerCodec.readUsages(in)) {
                    merge(program, usage, expiresAtMs);
                }
            }
            default -> throw new IOException("entry of type " + type);
        }
        return expiresAtMs;
    }

    private boolean merge(String program, Usage usage, long expiresAtMs) {
        Program held = programs.computeIfAbsent(program, name -> new Program());
        held.expiresAtMs = Math.max(held.expiresAtMs, expiresAtMs);
        Usage before = held.usages.get(usage.attempt());
        if (before != null && (before.settled() || before.equals(usage))) {
            return !before.settled() && !usage.settled();
        }
        held.usages.put(usage.attempt(), usage);
        return true;
    }

    private long expiry(long retentionMs) {
        return wallClockMs.getAsLong() + retentionMs + EXTRA_RETENTION_MS;
    }
}
