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
 * Sends copies of records to peers while the key-value service does not store them.
 *
 * <p>Owned by the loop of the journal; {@link #degraded} may be called from any thread.
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
    private final Set<Integer> partitionsWithPeerCopies = new HashSet<>();
    private final Map<Integer, CopyMark> pendingMarks = new HashMap<>();

    private volatile boolean degraded;

    /** A record and the copy of it that was sent. */
    private record SentCopy(PartitionLog log, PendingRecord pending, CopiedRecord copy) {}

    /**
     * Creates a sender.
     *
     * @param logs the open logs by partition; maintained by the journal
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

    /**
     * Called when a log was opened. Copies from which its journal was completed are dropped at the
     * peers once their records are committed.
     */
    void onOpened(PartitionLog log, JournalState state) {
        if (!state.copies().isEmpty()) {
            partitionsWithPeerCopies.add(log.partition());
        }
    }

    /** Called when records of {@code log} were committed. */
    void onCommitted(PartitionLog log) {
        if (partitionsWithPeerCopies.contains(log.partition())) {
            pendingMarks.put(
                    log.partition(),
                    new CopyMark(log.partition(), log.epoch(), log.committedSequence()));
            if (!log.dirty()) {
                partitionsWithPeerCopies.remove(log.partition());
            }
        }
    }

    /**
     * Checks for overdue records, sends peers the copies that they lack, and schedules the next
     * round.
     */
    void runRound() {
        updateDegraded();
        List<SentCopy> sent = degraded ? chooseRecords() : List.of();
        if (sent.isEmpty() && pendingMarks.isEmpty()) {
            loop.schedule(this::runRound, settings.copyIntervalMs() * NS_PER_MS);
            return;
        }
        List<CopyMark> sentMarks = List.copyOf(pendingMarks.values());
        List<CopiedRecord> copies = sent.stream().map(SentCopy::copy).toList();
        copies.forEach(copy -> partitionsWithPeerCopies.add(copy.partition()));
        blocking.execute(
                () -> {
                    int confirmed = peers.replicate(copies, sentMarks);
                    loop.execute(() -> onReplicated(sent, sentMarks, confirmed));
                });
    }

    private void updateDegraded() {
        long currentNs = nowNs.getAsLong();
        long maxAgeNs = settings.degradedAfterMs() * NS_PER_MS;
        boolean overdue =
                logs.values().stream()
                        .anyMatch(
                                log ->
                                        log.oldestAppendedAtNs()
                                                .filter(atNs -> currentNs - atNs > maxAgeNs)
                                                .isPresent());
        if (overdue != degraded) {
            degraded = overdue;
            LOG.atWarn().addKeyValue("event", "journal").addKeyValue("degraded", overdue).log();
        }
    }

    private List<SentCopy> chooseRecords() {
        List<SentCopy> chosen = new ArrayList<>();
        long bytes = 0;
        for (PartitionLog log : logs.values()) {
            long remainingBytes = JournalSettings.MAX_TXN_BYTES - bytes;
            if (remainingBytes <= 0) {
                break;
            }
            for (PendingRecord pending : log.uncopied(remainingBytes)) {
                CopiedRecord copy = log.copyOf(pending);
                bytes += copy.record().length;
                chosen.add(new SentCopy(log, pending, copy));
            }
        }
        return chosen;
    }

    private void onReplicated(List<SentCopy> sent, List<CopyMark> sentMarks, int confirmed) {
        if (confirmed > 0) {
            sentMarks.forEach(mark -> pendingMarks.remove(mark.partition(), mark));
            for (SentCopy sentCopy : sent) {
                boolean open = logs.get(sentCopy.log().partition()) == sentCopy.log();
                if (sentCopy.log().markCopied(sentCopy.pending(), sentCopy.copy().epoch())
                        && open) {
                    sentCopy.pending().report(new AppendOutcome.Copied(confirmed));
                }
            }
        }
        loop.schedule(
                this::runRound,
                confirmed > 0 && !sent.isEmpty() ? 0 : settings.copyIntervalMs() * NS_PER_MS);
    }
}
