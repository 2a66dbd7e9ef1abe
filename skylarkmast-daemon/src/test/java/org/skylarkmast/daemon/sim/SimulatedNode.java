package org.skylarkmast.daemon.sim;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.concurrent.Executor;
import org.skylarkmast.core.journal.AppendOutcome;
import org.skylarkmast.core.journal.CopiedRecord;
import org.skylarkmast.core.journal.CopyMark;
import org.skylarkmast.core.journal.Journal;
import org.skylarkmast.core.journal.PeerCopySource;
import org.skylarkmast.core.journal.ReplayedPartition;
import org.skylarkmast.core.key.ProgramKey;
import org.skylarkmast.core.ownership.OwnershipListener;
import org.skylarkmast.core.ownership.OwnershipSettings;
import org.skylarkmast.core.ownership.OwnershipStateMachine;
import org.skylarkmast.core.ownership.SessionRecord;
import org.skylarkmast.core.store.KeyValueStore;
import org.skylarkmast.daemon.journal.CopyStore;
import org.skylarkmast.daemon.journal.JournalReader;
import org.skylarkmast.daemon.journal.JournalSettings;
import org.skylarkmast.daemon.journal.JournalWriter;
import org.skylarkmast.daemon.loop.EventLoop;
import org.skylarkmast.daemon.ownership.NodeSession;
import org.skylarkmast.daemon.ownership.OwnershipService;

/**
 * A node in a simulation: ownership and journal, with a listener that records all notifications.
 */
public final class SimulatedNode implements OwnershipListener {
    public static final long TTL_MS = 3_000;

    public final String name;
    public final OwnershipService ownership;
    public final JournalWriter journal;
    public final NodeSession session;
    public final CopyStore copies = new CopyStore(10_000_000);
    public final TreeSet<Integer> serving = new TreeSet<>();
    public final Map<Integer, ReplayedPartition> replays = new HashMap<>();
    public final Map<Integer, Long> epochs = new HashMap<>();
    public final List<String> notifications = new ArrayList<>();
    public final List<String> committed = new ArrayList<>();
    public final List<String> copied = new ArrayList<>();
    public final List<String> fenced = new ArrayList<>();
    public final Map<Integer, List<String>> state = new HashMap<>();

    private final Map<Integer, Integer> inFlight = new HashMap<>();
    private final Map<Integer, Runnable> pendingReleases = new HashMap<>();
    private final Map<Integer, Journal> journals = new HashMap<>();
    private final Map<Integer, Integer> acquisitions = new HashMap<>();
    private final Map<Integer, Long> lastSequence = new HashMap<>();
    private int incarnations;
    private int writeIds;

    public SimulatedNode(
            Simulation simulation,
            KeyValueStore store,
            String name,
            String failureDomain,
            OwnershipSettings settings,
            List<SimulatedNode> cluster) {
        this.name = name;
        EventLoop loop = simulation.loop(name);
        Executor blocking = simulation.blocking();
        session =
                new NodeSession(
                        store,
                        simulation::nowNs,
                        () -> name + "-" + ++incarnations,
                        new SessionRecord(name, failureDomain, name + ":1", 1.0, false),
                        TTL_MS,
                        300);
        journal =
                new JournalWriter(
                        store,
                        loop,
                        blocking,
                        simulation::nowNs,
                        () -> name + "/" + ++writeIds,
                        (records, marks) -> replicate(cluster, simulation, records, marks),
                        JournalSettings.withWriteShare(100));
        ownership =
                new OwnershipService(
                        store,
                        session,
                        new OwnershipStateMachine(ProgramKey.PARTITIONS, settings),
                        new JournalReader(store, copiesIn(cluster)),
                        journal,
                        loop,
                        blocking,
                        simulation::nowNs,
                        TTL_MS / 3);
        cluster.add(this);
    }

    public void start() {
        ownership.start(this);
    }

    /** Appends {@code text} to the journal of a partition that this node has acquired. */
    public void append(int partition, String text) {
        inFlight.merge(partition, 1, Integer::sum);
        int acquisition = acquisitions.getOrDefault(partition, 0);
        journals.get(partition)
                .append(
                        partition,
                        text.getBytes(StandardCharsets.UTF_8),
                        outcome -> {
                            switch (outcome) {
                                case AppendOutcome.Committed done -> {
                                    committed.add(text);
                                    if (acquisition == acquisitions.getOrDefault(partition, 0)) {
                                        state.get(partition).add(text);
                                        lastSequence.put(partition, done.sequence());
                                        onAppendEnded(partition);
                                    }
                                }
                                case AppendOutcome.Copied copy -> copied.add(text);
                                case AppendOutcome.Fenced lost -> fenced.add(text);
                            }
                        });
    }

    /** Replaces the journal of {@code partition} by one snapshot of its committed records. */
    public void snapshot(int partition) {
        if (lastSequence.containsKey(partition)) {
            String all = String.join("\n", state.get(partition));
            journals.get(partition)
                    .snapshot(
                            partition,
                            lastSequence.get(partition),
                            List.of(all.getBytes(StandardCharsets.UTF_8)),
                            done -> {});
        }
    }

    /** Returns all texts in {@code replay}, in order. */
    public static List<String> contents(ReplayedPartition replay) {
        List<String> all = new ArrayList<>();
        for (String chunk : texts(replay.snapshotChunks())) {
            all.addAll(chunk.lines().toList());
        }
        all.addAll(texts(replay.records()));
        return all;
    }

    public static List<String> texts(List<byte[]> records) {
        return records.stream().map(r -> new String(r, StandardCharsets.UTF_8)).toList();
    }

    private void onAppendEnded(int partition) {
        int remaining = inFlight.merge(partition, -1, Integer::sum);
        if (remaining == 0 && pendingReleases.containsKey(partition)) {
            pendingReleases.remove(partition).run();
        }
    }

    private int replicate(
            List<SimulatedNode> cluster,
            Simulation simulation,
            List<CopiedRecord> records,
            List<CopyMark> marks) {
        int confirmed = 0;
        for (SimulatedNode peer : cluster) {
            if (peer != this && !simulation.paused(peer.name) && peer.copies.addAll(records)) {
                peer.copies.removeCommitted(marks);
                confirmed++;
            }
        }
        return confirmed;
    }

    /** Returns a source of the copies kept by all nodes of {@code cluster}. */
    public static PeerCopySource copiesIn(List<SimulatedNode> cluster) {
        return partition -> {
            List<CopiedRecord> found = new ArrayList<>();
            cluster.forEach(node -> found.addAll(node.copies.copiesOf(partition)));
            return found;
        };
    }

    @Override
    public void acquired(int partition, long epoch, ReplayedPartition replay) {
        notifications.add("acquired " + partition);
        serving.add(partition);
        epochs.put(partition, epoch);
        replays.put(partition, replay);
        journals.put(partition, journal.scopedTo(partition, epoch));
        inFlight.remove(partition);
        acquisitions.merge(partition, 1, Integer::sum);
        lastSequence.remove(partition);
        state.put(partition, contents(replay));
    }

    @Override
    public void reacquired(int partition, long epoch) {
        notifications.add("reacquired " + partition);
        epochs.put(partition, epoch);
        pendingReleases.remove(partition);
        serving.add(partition);
    }

    @Override
    public void lost(int partition) {
        notifications.add("lost " + partition);
        serving.remove(partition);
        pendingReleases.remove(partition);
    }

    @Override
    public void release(int partition, Runnable whenQuiesced) {
        notifications.add("release " + partition);
        serving.remove(partition);
        if (inFlight.getOrDefault(partition, 0) == 0) {
            whenQuiesced.run();
        } else {
            pendingReleases.put(partition, whenQuiesced);
        }
    }
}
