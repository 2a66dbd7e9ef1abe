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
 * One node in a simulation: ownership and journal, with a listener that records what it is told.
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
    public final List<String> told = new ArrayList<>();
    public final List<String> committed = new ArrayList<>();
    public final List<String> copied = new ArrayList<>();
    public final List<String> fenced = new ArrayList<>();
    public final Map<Integer, List<String>> state = new HashMap<>();

    private final Map<Integer, Integer> underWay = new HashMap<>();
    private final Map<Integer, Runnable> releasing = new HashMap<>();
    private final Map<Integer, Journal> held = new HashMap<>();
    private final Map<Integer, Integer> holds = new HashMap<>();
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

    /** Appends {@code text} if the partition is served here. */
    public void append(int partition, String text) {
        underWay.merge(partition, 1, Integer::sum);
        int hold = holds.getOrDefault(partition, 0);
        held.get(partition)
                .append(
                        partition,
                        text.getBytes(StandardCharsets.UTF_8),
                        outcome -> {
                            switch (outcome) {
                                case AppendOutcome.Committed done -> {
                                    committed.add(text);
                                    if (hold == holds.getOrDefault(partition, 0)) {
                                        state.get(partition).add(text);
                                        lastSequence.put(partition, done.sequence());
                                        ended(partition);
                                    }
                                }
                                case AppendOutcome.Copied copy -> copied.add(text);
                                case AppendOutcome.Fenced lost -> fenced.add(text);
                            }
                        });
    }

    /** Replaces the journal of {@code partition} by one snapshot of all that is committed. */
    public void snapshot(int partition) {
        if (lastSequence.containsKey(partition)) {
            String all = String.join("\n", state.get(partition));
            held.get(partition)
                    .snapshot(
                            partition,
                            lastSequence.get(partition),
                            List.of(all.getBytes(StandardCharsets.UTF_8)),
                            done -> {});
        }
    }

    /** All texts that {@code replay} holds, in order. */
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

    private void ended(int partition) {
        int left = underWay.merge(partition, -1, Integer::sum);
        if (left == 0 && releasing.containsKey(partition)) {
            releasing.remove(partition).run();
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

    /** The copies that all nodes of {@code cluster} keep. */
    public static PeerCopySource copiesIn(List<SimulatedNode> cluster) {
        return partition -> {
            List<CopiedRecord> found = new ArrayList<>();
            cluster.forEach(node -> found.addAll(node.copies.copiesOf(partition)));
            return found;
        };
    }

    @Override
    public void acquired(int partition, long epoch, ReplayedPartition replay) {
        told.add("acquired " + partition);
        serving.add(partition);
        epochs.put(partition, epoch);
        replays.put(partition, replay);
        held.put(partition, journal.scopedTo(partition, epoch));
        underWay.remove(partition);
        holds.merge(partition, 1, Integer::sum);
        lastSequence.remove(partition);
        state.put(partition, contents(replay));
    }

    @Override
    public void reacquired(int partition, long epoch) {
        told.add("reacquired " + partition);
        epochs.put(partition, epoch);
        releasing.remove(partition);
        serving.add(partition);
    }

    @Override
    public void lost(int partition) {
        told.add("lost " + partition);
        serving.remove(partition);
        releasing.remove(partition);
    }

    @Override
    public void release(int partition, Runnable whenQuiet) {
        told.add("release " + partition);
        serving.remove(partition);
        if (underWay.getOrDefault(partition, 0) == 0) {
            whenQuiet.run();
        } else {
            releasing.put(partition, whenQuiet);
        }
    }
}
