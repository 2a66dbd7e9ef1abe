package org.skylarkmast.relay.storage;

import java.io.DataInputStream;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;
import org.skylarkmast.relay.ledger.LedgerCodec;
import org.skylarkmast.relay.ledger.StreamOrigin;
import org.skylarkmast.relay.ledger.TurnRecord;
import org.skylarkmast.relay.ledger.Usage;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The in-memory index of a storage node: the log location of each turn, and each program's usages.
 *
 * <p>Thread-safe. Memory use grows with the number of records, not with the size of their texts.
 */
public final class RecordIndex implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(RecordIndex.class);

    /**
     * Time that records are kept beyond their retention: host clocks differ by seconds, and a turn
     * must not expire between the last retry of its caller and the answer to it.
     */
    private static final long EXTRA_RETENTION_MS = 30_000;

    /** The time of an attempt that has ended, or that an earlier release reserved. */
    public static final long UNKNOWN_TIME = Long.MAX_VALUE;

    private static final int TURN_ENTRY = 1;
    private static final int USAGE_ENTRY = 2;
    private static final int ORIGIN_ENTRY = 3;

    private final LongSupplier wallClockMs;
    private final Map<String, IndexedTurn> turns = new HashMap<>();
    private final UsageIndex usages = new UsageIndex();
    private final Map<String, Origins> originsByAttempt = new HashMap<>();
    private final RecordLog log;

    /** Ids of turns that stored turns continue from, but that are not stored here. */
    private final Set<String> missedTurns = new LinkedHashSet<>();

    private static final class IndexedTurn {
        final String previous;
        final RecordLog.Location location;

        /** The latest expiry of this turn and of those that were found to continue from it. */
        long expiresAtMs;

        IndexedTurn(String previous, RecordLog.Location location, long expiresAtMs) {
            this.previous = previous;
            this.location = location;
            this.expiresAtMs = expiresAtMs;
        }
    }

    private static final class Origins {
        final Set<StreamOrigin> origins = new HashSet<>();
        long expiresAtMs;
    }

    /** The origins recorded of an attempt's stream. */
    public record AttemptOrigins(String attempt, Set<StreamOrigin> origins, long retentionMs) {
        public AttemptOrigins {
            origins = Set.copyOf(origins);
        }
    }

    /**
     * A usage with the program it belongs to.
     *
     * @param remainingTimeMs time after which the attempt must have ended, negative if it is past,
     *     or {@link #UNKNOWN_TIME}
     */
    public record ProgramUsage(
            String program, Usage usage, long retentionMs, long remainingTimeMs) {}

    /**
     * The part of a chain that this storage node holds.
     *
     * @param turns newest first
     * @param complete whether it reaches the start of the chain
     */
    public record Chain(List<TurnRecord> turns, boolean complete) {
        public Chain {
            turns = List.copyOf(turns);
        }
    }

    /**
     * Opens the log in {@code folder} and builds the index from it.
     *
     * @param diskSync called after each write of records that must be durable
     * @throws IOException if the log cannot be opened
     */
    public RecordIndex(Path folder, LongSupplier wallClockMs, DiskSync diskSync)
            throws IOException {
        this.wallClockMs = wallClockMs;
        Map<Long, Long> latestExpiryMs = new HashMap<>();
        this.log =
                new RecordLog(
                        folder,
                        diskSync,
                        (location, bytes) ->
                                latestExpiryMs.merge(
                                        location.segment(), replay(location, bytes), Math::max));
        latestExpiryMs.forEach(log::retainUntil);
    }

    /**
     * Stores a turn. The result completes once the turn is on disk; a turn that is stored already
     * is not written again.
     */
    public CompletableFuture<Void> putTurn(TurnRecord turn) {
        synchronized (this) {
            if (turns.containsKey(turn.id())) {
                return CompletableFuture.completedFuture(null);
            }
        }
        long expiresAtMs = expiryMs(turn.retentionMs());
        byte[] entry =
                LedgerCodec.encode(
                        out -> {
                            out.writeByte(TURN_ENTRY);
                            out.writeLong(expiresAtMs);
                            LedgerCodec.writeTurn(out, turn);
                        });
        return log.append(entry, true, expiresAtMs)
                .thenAccept(
                        location -> {
                            synchronized (this) {
                                turns.putIfAbsent(
                                        turn.id(),
                                        new IndexedTurn(turn.previous(), location, expiresAtMs));
                                missedTurns.remove(turn.id());
                                noteIfMissed(turn.previous());
                            }
                        });
    }

    /**
     * Stores a usage. A settled usage replaces an open one, never the reverse.
     *
     * @param durable whether the result completes only once the usage is on disk
     */
    public CompletableFuture<Void> putUsage(ProgramUsage stored, boolean durable) {
        long expiresAtMs = expiryMs(stored.retentionMs());
        String program = stored.program();
        Usage usage = stored.usage();
        long timeLimitMs =
                stored.remainingTimeMs() == UNKNOWN_TIME
                        ? UsageIndex.UNKNOWN_END_MS
                        : wallClockMs.getAsLong() + stored.remainingTimeMs();
        synchronized (this) {
            if (!usages.merge(program, usage, timeLimitMs, expiresAtMs)) {
                return CompletableFuture.completedFuture(null);
            }
        }
        byte[] entry =
                LedgerCodec.encode(
                        out -> {
                            out.writeByte(USAGE_ENTRY);
                            out.writeLong(expiresAtMs);
                            out.writeUTF(program);
                            LedgerCodec.writeUsages(out, List.of(usage));
                            out.writeLong(timeLimitMs);
                        });
        return log.append(entry, durable, expiresAtMs)
                .thenAccept(location -> addUsageSegment(program, location));
    }

    /**
     * Adds an origin of an attempt's stream; the result completes once it is on disk. Origins are
     * only ever added, so that writes may arrive in any order.
     */
    public CompletableFuture<Void> putOrigin(
            String attempt, StreamOrigin origin, long retentionMs) {
        long expiresAtMs = expiryMs(retentionMs);
        synchronized (this) {
            addOrigin(attempt, origin, expiresAtMs);
        }
        byte[] entry =
                LedgerCodec.encode(
                        out -> {
                            out.writeByte(ORIGIN_ENTRY);
                            out.writeLong(expiresAtMs);
                            out.writeUTF(attempt);
                            LedgerCodec.writeOrigins(out, Set.of(origin));
                        });
        return log.append(entry, true, expiresAtMs).thenAccept(location -> {});
    }

    /** Returns the origins recorded of an attempt's stream. */
    public synchronized Set<StreamOrigin> origins(String attempt) {
        Origins found = originsByAttempt.get(attempt);
        return found == null ? Set.of() : Set.copyOf(found.origins);
    }

    /** Returns all recorded origins, each with its remaining retention. */
    public synchronized List<AttemptOrigins> allOrigins() {
        long nowMs = wallClockMs.getAsLong();
        List<AttemptOrigins> all = new ArrayList<>();
        originsByAttempt.forEach(
                (attempt, stored) ->
                        all.add(
                                new AttemptOrigins(
                                        attempt,
                                        stored.origins,
                                        remainingMs(stored.expiresAtMs, nowMs))));
        return all;
    }

    /** Returns the usages of a program. */
    public synchronized List<Usage> usages(String program) {
        return usages.usages(program);
    }

    /** Returns the attempts of a program that must have ended, but have no final count. */
    public synchronized Set<String> endedAttempts(String program) {
        return usages.endedAttempts(program, wallClockMs.getAsLong());
    }

    /**
     * Returns the turn {@code id} and its predecessors, as far as they are stored here.
     *
     * @param maxBytes size of texts at which the chain is cut; the first turn is always returned
     * @throws IOException if the log cannot be read
     */
    public Chain chain(String id, int maxBytes) throws IOException {
        List<TurnRecord> chain = new ArrayList<>();
        int bytes = 0;
        String nextId = id;
        while (!nextId.isEmpty()) {
            TurnRecord turn = bytes < maxBytes ? turn(nextId) : null;
            if (turn == null) {
                return new Chain(chain, false);
            }
            chain.add(turn);
            bytes += turn.input().length + turn.output().length;
            nextId = turn.previous();
        }
        return new Chain(chain, true);
    }

    /**
     * Returns the turn {@code id}, or null if it is not stored here.
     *
     * @throws IOException if the log cannot be read
     */
    public TurnRecord turn(String id) throws IOException {
        IndexedTurn indexed;
        synchronized (this) {
            indexed = turns.get(id);
        }
        if (indexed == null) {
            return null;
        }
        byte[] entry = log.read(indexed.location);
        return LedgerCodec.decode(
                entry,
                in -> {
                    in.readByte();
                    in.readLong();
                    return LedgerCodec.readTurn(in);
                });
    }

    /**
     * Returns ids of turns that stored turns continue from, but that are not stored here; other ids
     * the next time if there are more.
     */
    public synchronized List<String> missedTurns(int limit) {
        List<String> ids = missedTurns.stream().limit(limit).toList();
        ids.forEach(missedTurns::remove);
        missedTurns.addAll(ids);
        return ids;
    }

    /** Returns the ids of all stored turns. */
    public synchronized Set<String> turnIds() {
        return new HashSet<>(turns.keySet());
    }

    /** Returns all stored usages, each with its remaining retention and time. */
    public synchronized List<ProgramUsage> allUsages() {
        long nowMs = wallClockMs.getAsLong();
        List<ProgramUsage> all = new ArrayList<>();
        usages.forEach(
                (program, usage, timeLimitMs, expiresAtMs) ->
                        all.add(
                                new ProgramUsage(
                                        program,
                                        usage,
                                        remainingMs(expiresAtMs, nowMs),
                                        timeLimitMs == UsageIndex.UNKNOWN_END_MS
                                                ? UNKNOWN_TIME
                                                : timeLimitMs - nowMs)));
        return all;
    }

    /**
     * Removes records that are past their retention and the extra time. Turns are kept as long as
     * one that continues from them, usages as long as their program's last one.
     */
    public void expire() {
        long nowMs = wallClockMs.getAsLong();
        Set<Long> usedSegments = new HashSet<>();
        synchronized (this) {
            missedTurns.clear();
            for (IndexedTurn turn : turns.values()) {
                if (turn.expiresAtMs >= nowMs) {
                    extendPredecessors(turn);
                }
            }
            turns.values().removeIf(turn -> turn.expiresAtMs < nowMs);
            usages.expire(nowMs);
            originsByAttempt.values().removeIf(stored -> stored.expiresAtMs < nowMs);
            turns.values().forEach(turn -> usedSegments.add(turn.location.segment()));
            usedSegments.addAll(usages.usedSegments());
        }
        log.removeExpiredSegments(nowMs, usedSegments);
    }

    /** Visits only predecessors that expire earlier: the others were extended already. */
    private void extendPredecessors(IndexedTurn turn) {
        noteIfMissed(turn.previous);
        IndexedTurn previous = turns.get(turn.previous);
        while (previous != null && previous.expiresAtMs < turn.expiresAtMs) {
            previous.expiresAtMs = turn.expiresAtMs;
            noteIfMissed(previous.previous);
            previous = turns.get(previous.previous);
        }
    }

    private void noteIfMissed(String id) {
        if (!id.isEmpty() && !turns.containsKey(id)) {
            missedTurns.add(id);
        }
    }

    /** The number of stored turns. */
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
            // The checksum is correct, so the entry was written by another release.
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
            case TURN_ENTRY -> {
                TurnRecord turn = LedgerCodec.readTurn(in);
                turns.put(turn.id(), new IndexedTurn(turn.previous(), location, expiresAtMs));
            }
            case USAGE_ENTRY -> {
                String program = in.readUTF();
                List<Usage> entries = LedgerCodec.readUsages(in);
                // Entries of earlier releases end here.
                long timeLimitMs = in.available() == 0 ? UsageIndex.UNKNOWN_END_MS : in.readLong();
                for (Usage usage : entries) {
                    usages.merge(program, usage, timeLimitMs, expiresAtMs);
                }
                addUsageSegment(program, location);
            }
            case ORIGIN_ENTRY -> {
                String attempt = in.readUTF();
                for (StreamOrigin origin : LedgerCodec.readOrigins(in)) {
                    addOrigin(attempt, origin, expiresAtMs);
                }
            }
            default -> throw new IOException("unknown log entry type " + type);
        }
        return expiresAtMs;
    }

    private synchronized void addUsageSegment(String program, RecordLog.Location location) {
        usages.addSegment(program, location.segment());
    }

    private void addOrigin(String attempt, StreamOrigin origin, long expiresAtMs) {
        Origins stored = originsByAttempt.computeIfAbsent(attempt, name -> new Origins());
        stored.origins.add(origin);
        stored.expiresAtMs = Math.max(stored.expiresAtMs, expiresAtMs);
    }

    private static long remainingMs(long expiresAtMs, long nowMs) {
        return Math.max(0, expiresAtMs - nowMs - EXTRA_RETENTION_MS);
    }

    private long expiryMs(long retentionMs) {
        return wallClockMs.getAsLong() + retentionMs + EXTRA_RETENTION_MS;
    }
}
