package org.skylarkmast.core.ownership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Decides which partitions this node claims, keeps and hands over.
 *
 * <p>The stored record alone says who owns a partition; this machine never takes itself for the
 * owner before it has seen its own record. Not thread-safe: owned by the ownership loop.
 */
public final class OwnershipMachine {
    private static final long NS_PER_MS = 1_000_000L;

    /** Claims in one action, so that one transaction can hold them with their conditions. */
    static final int CLAIMS_AT_ONCE = 100;

    private final OwnershipSettings settings;
    private final PartitionSlot[] slots;
    private final Map<String, SessionRecord> sessions = new HashMap<>();
    private final Map<String, Long> goneAtNs = new HashMap<>();

    private RendezvousRanking ranking = new RendezvousRanking(Map.of());
    private String ownIncarnation;
    private SessionRecord ownSession;
    private boolean draining;
    private boolean directoryRead;
    private long directoryReadAtNs;
    private long sessionsChangedAtNs;
    private boolean mostGoneSeen;
    private long mostGoneAtNs;

    /**
     * Creates a machine that owns nothing.
     *
     * @param partitions number of partitions
     */
    public OwnershipMachine(int partitions, OwnershipSettings settings) {
        this.settings = settings;
        slots = new PartitionSlot[partitions];
        for (int partition = 0; partition < partitions; partition++) {
            slots[partition] = new PartitionSlot(partition);
        }
    }

    /** Decides on {@code event}. */
    public List<OwnershipAction> on(OwnershipEvent event, long nowNs) {
        List<OwnershipAction> actions = new ArrayList<>();
        switch (event) {
            case OwnershipEvent.SessionOpened opened -> sessionOpened(opened, nowNs, actions);
            case OwnershipEvent.SessionLost lost -> sessionLost(nowNs, actions);
            case OwnershipEvent.DirectoryRead read -> directoryRead(nowNs);
            case OwnershipEvent.RecordSeen seen -> recordSeen(seen, actions);
            case OwnershipEvent.SessionSeen seen ->
                    sessionSeen(seen.incarnation(), seen.session(), nowNs);
            case OwnershipEvent.SessionGone gone -> sessionGone(gone.incarnation(), nowNs, actions);
            case OwnershipEvent.ClaimsEnded ended ->
                    ended.partitions().forEach(partition -> claimEnded(slots[partition], nowNs));
            case OwnershipEvent.JournalRead read -> journalRead(read, actions);
            case OwnershipEvent.Quiet quiet -> quiet(quiet, actions);
            case OwnershipEvent.HandOverEnded ended ->
                    handOverEnded(slots[ended.partition()], nowNs);
            case OwnershipEvent.Fenced fenced -> fenced(fenced, actions);
            case OwnershipEvent.DrainStarted started -> drainStarted(nowNs);
            case OwnershipEvent.Tick tick -> tick(nowNs, actions);
        }
        return actions;
    }

    /** Whether this node holds the partition: its state here is true until {@code Lost} is told. */
    public boolean holds(int partition) {
        return slots[partition].held();
    }

    /** Whether the stored record names this node's present session, and the partition is served. */
    public boolean owns(int partition) {
        PartitionSlot slot = slots[partition];
        return slot.held() && slot.holding != PartitionSlot.Holding.RECLAIMING;
    }

    /** Whether the journal read for the claim at {@code revision} is still wanted. */
    public boolean reading(int partition, long revision) {
        PartitionSlot slot = slots[partition];
        return slot.holding == PartitionSlot.Holding.READING && slot.heldRevision == revision;
    }

    /** Number of partitions held or being taken over. */
    public int heldCount() {
        int held = 0;
        for (PartitionSlot slot : slots) {
            if (slot.held() || slot.holding == PartitionSlot.Holding.READING) {
                held++;
            }
        }
        return held;
    }

    /** The owner as last seen; empty if there is no record or its owner's session is gone. */
    public Optional<OwnerLocation> ownerOf(int partition) {
        OwnerRecord record = slots[partition].record;
        if (record == null || !sessions.containsKey(record.incarnation())) {
            return Optional.empty();
        }
        return Optional.of(record.location());
    }

    /** The live sessions by incarnation. */
    public Map<String, SessionRecord> sessions() {
        return Map.copyOf(sessions);
    }

    private void sessionOpened(
            OwnershipEvent.SessionOpened opened, long nowNs, List<OwnershipAction> actions) {
        ownIncarnation = opened.incarnation();
        ownSession = opened.session();
        sessionSeen(opened.incarnation(), opened.session(), nowNs);
        List<ClaimRequest> requests = new ArrayList<>();
        for (PartitionSlot slot : slots) {
            if (slot.holding == PartitionSlot.Holding.RECLAIMING) {
                slot.retryAtNs = nowNs + settings.claimRetryMs() * NS_PER_MS;
                requests.add(claimOf(slot));
            }
        }
        addClaims(requests, actions);
    }

    private void sessionLost(long nowNs, List<OwnershipAction> actions) {
        if (ownIncarnation == null) {
            return;
        }
        sessions.remove(ownIncarnation);
        goneAtNs.putIfAbsent(ownIncarnation, nowNs);
        ownIncarnation = null;
        sessionsChanged(nowNs);
        for (PartitionSlot slot : slots) {
            if (slot.held()) {
                slot.holding = PartitionSlot.Holding.RECLAIMING;
                actions.add(new OwnershipAction.Suspend(slot.partition));
            } else {
                slot.holding = PartitionSlot.Holding.NONE;
            }
        }
    }

    private void directoryRead(long nowNs) {
        if (!directoryRead) {
            directoryRead = true;
            directoryReadAtNs = nowNs;
        }
    }

    private void sessionSeen(String incarnation, SessionRecord session, long nowNs) {
        goneAtNs.remove(incarnation);
        if (!session.equals(sessions.put(incarnation, session))) {
            sessionsChanged(nowNs);
        }
    }

    private void sessionGone(String incarnation, long nowNs, List<OwnershipAction> actions) {
        if (incarnation.equals(ownIncarnation)) {
            sessionLost(nowNs, actions);
        } else if (sessions.remove(incarnation) != null) {
            goneAtNs.putIfAbsent(incarnation, nowNs);
            sessionsChanged(nowNs);
        }
    }

    private void drainStarted(long nowNs) {
        draining = true;
        if (ownIncarnation != null) {
            sessionSeen(ownIncarnation, ownSession.drainingNow(), nowNs);
        }
    }

    private void sessionsChanged(long nowNs) {
        noteMassLapse(nowNs);
        ranking = new RendezvousRanking(sessions);
        sessionsChangedAtNs = nowNs;
    }

    private void recordSeen(OwnershipEvent.RecordSeen seen, List<OwnershipAction> actions) {
        PartitionSlot slot = slots[seen.partition()];
        if (seen.revision() <= slot.revision) {
            return;
        }
        slot.record = seen.record().orElse(null);
        slot.revision = seen.revision();
        boolean own = slot.record != null && slot.record.incarnation().equals(ownIncarnation);
        if (own && slot.held() && slot.record.epoch() == slot.heldEpoch + 1) {
            slot.hold(PartitionSlot.Holding.HELD);
            actions.add(
                    new OwnershipAction.Reacquired(slot.partition, slot.revision, slot.heldEpoch));
            return;
        }
        if (slot.held()) {
            actions.add(new OwnershipAction.Lost(slot.partition));
        }
        if (own) {
            slot.hold(PartitionSlot.Holding.READING);
            actions.add(
                    new OwnershipAction.ReadJournal(slot.partition, slot.revision, slot.heldEpoch));
        } else {
            slot.holding = PartitionSlot.Holding.NONE;
        }
    }

    private void claimEnded(PartitionSlot slot, long nowNs) {
        if (slot.holding == PartitionSlot.Holding.CLAIMING) {
            slot.holding = PartitionSlot.Holding.NONE;
        }
        slot.retryAtNs = nowNs + settings.claimRetryMs() * NS_PER_MS;
    }

    private void journalRead(OwnershipEvent.JournalRead read, List<OwnershipAction> actions) {
        PartitionSlot slot = slots[read.partition()];
        if (slot.holding == PartitionSlot.Holding.READING && slot.heldRevision == read.revision()) {
            slot.holding = PartitionSlot.Holding.HELD;
            actions.add(
                    new OwnershipAction.Acquired(
                            slot.partition, slot.heldRevision, slot.heldEpoch));
        }
    }

    private void quiet(OwnershipEvent.Quiet quiet, List<OwnershipAction> actions) {
        PartitionSlot slot = slots[quiet.partition()];
        if (slot.holding == PartitionSlot.Holding.RELEASING
                && slot.heldRevision == quiet.claimRevision()) {
            slot.holding = PartitionSlot.Holding.QUIET;
            handOver(slot, actions);
        }
    }

    private void handOver(PartitionSlot slot, List<OwnershipAction> actions) {
        String target = ranking.desiredOwner(slot.partition);
        if (target == null || target.equals(ownIncarnation)) {
            if (!draining) {
                slot.holding = PartitionSlot.Holding.HELD;
                actions.add(
                        new OwnershipAction.Reacquired(
                                slot.partition, slot.heldRevision, slot.heldEpoch));
            }
            return;
        }
        SessionRecord session = sessions.get(target);
        slot.holding = PartitionSlot.Holding.HANDING_OVER;
        actions.add(
                new OwnershipAction.HandOver(
                        slot.partition,
                        slot.heldRevision,
                        new OwnerRecord(
                                target,
                                session.node(),
                                session.peerAddress(),
                                slot.heldEpoch + 1)));
    }

    private void handOverEnded(PartitionSlot slot, long nowNs) {
        if (slot.holding == PartitionSlot.Holding.HANDING_OVER) {
            slot.holding = PartitionSlot.Holding.QUIET;
            slot.retryAtNs = nowNs + settings.claimRetryMs() * NS_PER_MS;
        }
    }

    private void fenced(OwnershipEvent.Fenced fenced, List<OwnershipAction> actions) {
        PartitionSlot slot = slots[fenced.partition()];
        if (slot.held() && slot.heldRevision == fenced.claimRevision()) {
            slot.holding = PartitionSlot.Holding.NONE;
            actions.add(new OwnershipAction.Lost(slot.partition));
            actions.add(new OwnershipAction.Refresh(slot.partition));
        }
    }

    private void tick(long nowNs, List<OwnershipAction> actions) {
        if (ownIncarnation == null || !directoryRead) {
            return;
        }
        forgetUnreferencedSessions();
        noteMassLapse(nowNs);
        claimOrphans(nowNs, actions);
        int handOvers = 0;
        for (PartitionSlot slot : slots) {
            if (slot.holding == PartitionSlot.Holding.QUIET && nowNs >= slot.retryAtNs) {
                handOver(slot, actions);
            }
            handOvers += slot.leaving() ? 1 : 0;
        }
        startHandOvers(nowNs, handOvers, actions);
    }

    private void claimOrphans(long nowNs, List<OwnershipAction> actions) {
        List<ClaimRequest> requests = new ArrayList<>();
        for (PartitionSlot slot : slots) {
            if (nowNs < slot.retryAtNs) {
                continue;
            }
            boolean claimable =
                    slot.holding == PartitionSlot.Holding.RECLAIMING
                            || (slot.holding == PartitionSlot.Holding.NONE
                                    && !draining
                                    && orphaned(slot)
                                    && waitedEnough(slot, nowNs));
            if (claimable) {
                slot.retryAtNs = nowNs + settings.claimRetryMs() * NS_PER_MS;
                if (slot.holding == PartitionSlot.Holding.NONE) {
                    slot.holding = PartitionSlot.Holding.CLAIMING;
                }
                requests.add(claimOf(slot));
            }
        }
        addClaims(requests, actions);
    }

    private void startHandOvers(long nowNs, int underWay, List<OwnershipAction> actions) {
        boolean stable = nowNs - sessionsChangedAtNs >= settings.stableMs() * NS_PER_MS;
        if (!stable && !draining) {
            return;
        }
        int allowed = draining ? settings.drainingHandOversAtOnce() : settings.handOversAtOnce();
        int handOvers = underWay;
        for (PartitionSlot slot : slots) {
            if (handOvers >= allowed) {
                return;
            }
            if (slot.holding == PartitionSlot.Holding.HELD) {
                String desired = ranking.desiredOwner(slot.partition);
                if (desired != null && !desired.equals(ownIncarnation)) {
                    slot.holding = PartitionSlot.Holding.RELEASING;
                    actions.add(new OwnershipAction.Release(slot.partition, slot.heldRevision));
                    handOvers++;
                }
            }
        }
    }

    private boolean orphaned(PartitionSlot slot) {
        return slot.record == null || !sessions.containsKey(slot.record.incarnation());
    }

    private boolean waitedEnough(PartitionSlot slot, long nowNs) {
        long sinceNs = directoryReadAtNs;
        if (slot.record != null) {
            sinceNs = goneAtNs.computeIfAbsent(slot.record.incarnation(), key -> nowNs);
        }
        long graceMs = massLapse(nowNs) ? settings.massGraceMs() : settings.shortGraceMs();
        if (nowNs - sinceNs < graceMs * NS_PER_MS) {
            return false;
        }
        int rank = ranking.rank(ownIncarnation, slot.partition);
        return rank >= 0 && nowNs - sinceNs >= (graceMs + rank * settings.fallbackMs()) * NS_PER_MS;
    }

    /** Whether most sessions vanished together, now or within the longer grace. */
    private boolean massLapse(long nowNs) {
        return mostGoneSeen && nowNs - mostGoneAtNs < settings.massGraceMs() * NS_PER_MS;
    }

    /** Notes whether two or more sessions, and at least half of all known, are gone. */
    private void noteMassLapse(long nowNs) {
        int gone = goneAtNs.size();
        if (gone >= 2 && gone >= sessions.size()) {
            mostGoneSeen = true;
            mostGoneAtNs = nowNs;
        }
    }

    private void forgetUnreferencedSessions() {
        Set<String> referenced = new HashSet<>();
        for (PartitionSlot slot : slots) {
            if (slot.record != null) {
                referenced.add(slot.record.incarnation());
            }
        }
        goneAtNs.keySet().retainAll(referenced);
    }

    private ClaimRequest claimOf(PartitionSlot slot) {
        boolean reclaim = slot.holding == PartitionSlot.Holding.RECLAIMING;
        long epoch = reclaim ? slot.heldEpoch : slot.record == null ? 0 : slot.record.epoch();
        return new ClaimRequest(
                slot.partition,
                slot.record == null ? 0 : slot.revision,
                Optional.ofNullable(slot.record).map(OwnerRecord::incarnation),
                new OwnerRecord(
                        ownIncarnation, ownSession.node(), ownSession.peerAddress(), epoch + 1));
    }

    private static void addClaims(List<ClaimRequest> requests, List<OwnershipAction> actions) {
        for (int from = 0; from < requests.size(); from += CLAIMS_AT_ONCE) {
            int to = Math.min(requests.size(), from + CLAIMS_AT_ONCE);
            actions.add(new OwnershipAction.Claim(requests.subList(from, to)));
        }
    }
}
