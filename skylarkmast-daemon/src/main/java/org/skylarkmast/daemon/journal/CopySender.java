package org.skylarkmast.daemon.journal;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.function.LongSupplier;
import org.skylarkmast.core.journal.AppendOutcome;
import org.skylarkmast.core.journal.CopiedRecord;
import org.skylarkmast.core.journal.CopyMark;
import org.skylarkmast.core.journal.JournalState;
import org.skylarkmast.core.journal.PartitionLog;
import org.skylarkmast.core.journal.PartitionLog.PendingRecord;
import org.skylarkmast.core.journal.PeerReplicator;
import org.skylarkmast.daemon.loop.EventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sends records to peers while the key-value service does not take them.
 *
 * <p>Owned by the journal's loop; {@link #degraded} may be read from any thread.
 */
final class CopySender {
    private static final Logger LOG = LoggerFactory.getLogger(CopySender.class);
    private static final long NS_PER_MS = 1_000_000L;

    private final PeerReplicator peers;
    private final EventLoop loop;
    private final Executor blocking;
    private final LongSupplier nowNs;
    private final JournalSettings settings;
    private final Map<Integer, PartitionLog> logs;
    private final Set<Integer> partitionsAtPeers = new HashSet<>();
    private final Map<Integer, CopyMark> marks = new HashMap<>();

    private volatile boolean degraded;

    /** A record being copied, with the copy as sent. */
    private record Sent(PartitionLog log, PendingRecord pending, CopiedRecord copy) {}

    /**
     * Creates a sender.
     *
     * @param logs the open logs, kept by the journal
     */
    CopySender(
            PeerReplicator peers,
            EventLoop loop,
            Executor blocking,
            LongSupplier nowNs,
            JournalSettings settings,
            Map<Integer, PartitionLog> logs) {
        this.peers = peers;
        this.loop = loop;
        this.blocking = blocking;
        this.nowNs = nowNs;
        this.settings = settings;
        this.logs = logs;
    }

    boolean degraded() {
        return degraded;
    }

    /** A log was opened; copies that its journal was completed from are to be dropped later. */
    void opened(PartitionLog log, JournalState state) {
        if (!state.copies().isEmpty()) {
            partitionsAtPeers.add(log.partition());
        }
    }

    /** Records of {@code log} were committed. */
    void committed(PartitionLog log) {
        if (partitionsAtPeers.contains(log.partition())) {
            marks.put(
                    log.partition(),
                    new CopyMark(log.partition(), log.epoch(), log.committedSequence()));
            if (!log.dirty()) {
                partitionsAtPeers.remove(log.partition());
            }
        }
    }

    /** Looks for records that wait too long and copies what peers lack; goes on for ever. */
    void round() {
        observe();
        List<Sent> sent = degraded ? chooseRecords() : List.of();
        if (sent.isEmpty() && marks.isEmpty()) {
            loop.schedule(this::round, settings.copyIntervalMs() * NS_PER_MS);
            return;
        }
        List<CopyMark> sentMarks = List.copyOf(marks.values());
        List<CopiedRecord> copies = sent.stream().map(Sent::copy).toList();
        copies.forEach(copy -> partitionsAtPeers.add(copy.partition()));
        blocking.execute(
                () -> {
                    int confirmed = peers.replicate(copies, sentMarks);
                    loop.execute(() -> replicated(sent, sentMarks, confirmed));
                });
    }

    private void observe() {
        long now = nowNs.getAsLong();
        long boundNs = settings.degradedAfterMs() * NS_PER_MS;
        boolean late =
                logs.values().stream()
                        .anyMatch(
                                log ->
                                        log.oldestAppendedAtNs()
                                                .filter(atNs -> now - atNs > boundNs)
                                                .isPresent());
        if (late != degraded) {
            degraded = late;
            LOG.atWarn().addKeyValue("event", "journal").addKeyValue("degraded", late).log();
        }
    }

    private List<Sent> chooseRecords() {
        List<Sent> chosen = new ArrayList<>();
        long bytes = 0;
        for (PartitionLog log : logs.values()) {
            long left = JournalSettings.BYTES_AT_ONCE - bytes;
            if (left <= 0) {
                break;
            }
            for (PendingRecord pending : log.uncopied(left)) {
                CopiedRecord copy = log.copyOf(pending);
                bytes += copy.record().length;
                chosen.add(new Sent(log, pending, copy));
            }
        }
        return chosen;
    }

    private void replicated(List<Sent> sent, List<CopyMark> sentMarks, int confirmed) {
        if (confirmed > 0) {
            sentMarks.forEach(mark -> marks.remove(mark.partition(), mark));
            for (Sent each : sent) {
                boolean open = logs.get(each.log().partition()) == each.log();
                if (each.log().markCopied(each.pending(), each.copy().epoch()) && open) {
                    each.pending().report(new AppendOutcome.Copied(confirmed));
                }
            }
        }
        loop.schedule(
                this::round,
                confirmed > 0 && !sent.isEmpty() ? 0 : settings.copyIntervalMs() * NS_PER_MS);
    }
}
