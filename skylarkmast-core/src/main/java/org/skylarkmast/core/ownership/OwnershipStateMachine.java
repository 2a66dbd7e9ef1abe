package org.skylarkmast.core.ownership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * State machine that decides which partitions this node claims, keeps and hands over.
 *
 * <p>Only the stored ownership record determines the owner of a partition: this node counts as
 * owner only after the record that names it was read back. Not thread-safe: owned by the ownership
 * loop.
 */
public final class OwnershipStateMachine {
    private static final long NS_PER_MS = 1_000_000L;

    /**
     * Largest number of claims in one action, so that they and their conditions fit into one
     * transaction.
     */
    static final int MAX_CLAIMS_PER_ACTION = 100;

    private final OwnershipSettings settings;
    private final PartitionSlot[] slots;
    private final Map<String, SessionRecord> sessions = new HashMap<>();
    private final Map<String, Long> lostAtNsByIncarnation = new HashMap<>();

    private RendezvousRanking ranking = new RendezvousRanking(Map.of());
    private String ownIncarnation;
    private SessionRecord ownSession;
    private boolean draining;
    private boolean directoryRead;
    private long directoryReadAtNs;
    private long sessionsChangedAtNs;
    private boolean massLossDetected;
    private long massLossAtNs;

    /**
     * Creates a state machine that owns no partition.
     *
     * @param partitions number of partitions
     */
    public OwnershipStateMachine(int partitions, OwnershipSettings settings) {
        this.settings = settings;
        slots = new PartitionSlot[partitions];
        for (int partition = 0; partition < partitions; partition++) {
            slots[partition] = new PartitionSlot(partition);
        }
    }

    /** Processes {@code event} and returns the actions to take. */
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
            case OwnershipEvent.ClaimAttemptFinished ended ->
                    ended.partitions()
                            .forEach(partition -> claimAttemptFinished(slots[partition], nowNs));
            case OwnershipEvent.JournalRead read -> journalRead(read, actions);
            case OwnershipEvent.Quiesced quiesced -> quiesced(quiesced, actions);
            case OwnershipEvent.HandOverAttemptFinished ended ->
                    handOverAttemptFinished(slots[ended.partition()], nowNs);
            case OwnershipEvent.Fenced fenced -> fenced(fenced, actions);
            case OwnershipEvent.DrainStarted started -> drainStarted(nowNs);
            case OwnershipEvent.Tick tick -> tick(nowNs, actions);
        }
        return actions;
    }

    /**
     * Whether this node holds the partition: its state in memory is current until {@link
     * OwnershipAction.Lost} is returned.
     */
    public boolean holds(int partition) {
        return slots[partition].held();
    }

    /** Whether the stored record names this node's current session and the partition is served. */
    public boolean owns(int partition) {
        PartitionSlot slot = slots[partition];
        return slot.held() && slot.state != PartitionSlot.State.RECLAIMING;
    }

    /** Whether the result of the journal read for the claim at {@code revision} is still needed. */
    public boolean awaitsJournalRead(int partition, long revision) {
        PartitionSlot slot = slots[partition];
        return slot.state == PartitionSlot.State.READING && slot.heldRevision == revision;
    }

    /** Number of partitions that are held or whose journal is being read. */
    public int heldCount() {
        int held = 0;
        for (PartitionSlot slot : slots) {
            if (slot.held() || slot.state == PartitionSlot.State.READING) {
                held++;
            }
        }
        return held;
    }

    /**
     * The last known owner; empty if there is no record or the session of its owner no longer
     * exists.
     */
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
            if (slot.state == PartitionSlot.State.RECLAIMING) {
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
        lostAtNsByIncarnation.putIfAbsent(ownIncarnation, nowNs);
        ownIncarnation = null;
        sessionsChanged(nowNs);
        for (PartitionSlot slot : slots) {
            if (slot.held()) {
                slot.state = PartitionSlot.State.RECLAIMING;
                actions.add(new OwnershipAction.Suspend(slot.partition));
            } else {
                slot.state = PartitionSlot.State.NONE;
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
        lostAtNsByIncarnation.remove(incarnation);
        if (!session.equals(sessions.put(incarnation, session))) {
            sessionsChanged(nowNs);
        }
    }

    private void sessionGone(String incarnation, long nowNs, List<OwnershipAction> actions) {
        if (incarnation.equals(ownIncarnation)) {
            sessionLost(nowNs, actions);
        } else if (sessions.remove(incarnation) != null) {
            lostAtNsByIncarnation.putIfAbsent(incarnation, nowNs);
            sessionsChanged(nowNs);
        }
    }

    private void drainStarted(long nowNs) {
        draining = true;
        if (ownIncarnation != null) {
            sessionSeen(ownIncarnation, ownSession.asDraining(), nowNs);
        }
    }

    private void sessionsChanged(long nowNs) {
        detectMassLoss(nowNs);
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
            slot.enterOwnedState(PartitionSlot.State.HELD);
            actions.add(
                    new OwnershipAction.Reacquired(slot.partition, slot.revision, slot.heldEpoch));
            return;
        }
        if (slot.held()) {
            actions.add(new OwnershipAction.Lost(slot.partition));
        }
        if (own) {
            slot.enterOwnedState(PartitionSlot.State.READING);
            actions.add(
                    new OwnershipAction.ReadJournal(slot.partition, slot.revision, slot.heldEpoch));
        } else {
            slot.state = PartitionSlot.State.NONE;
        }
    }

    private void claimAttemptFinished(PartitionSlot slot, long nowNs) {
        if (slot.state == PartitionSlot.State.CLAIMING) {
            slot.state = PartitionSlot.State.NONE;
        }
        slot.retryAtNs = nowNs + settings.claimRetryMs() * NS_PER_MS;
    }

    private void journalRead(OwnershipEvent.JournalRead read, List<OwnershipAction> actions) {
        PartitionSlot slot = slots[read.partition()];
        if (slot.state == PartitionSlot.State.READING && slot.heldRevision == read.revision()) {
            slot.state = PartitionSlot.State.HELD;
            actions.add(
                    new OwnershipAction.Acquired(
                            slot.partition, slot.heldRevision, slot.heldEpoch));
        }
    }

    private void quiesced(OwnershipEvent.Quiesced quiesced, List<OwnershipAction> actions) {
        PartitionSlot slot = slots[quiesced.partition()];
        if (slot.state == PartitionSlot.State.RELEASING
                && slot.heldRevision == quiesced.claimRevision()) {
            slot.state = PartitionSlot.State.QUIESCED;
            handOver(slot, actions);
        }
    }

    private void handOver(PartitionSlot slot, List<OwnershipAction> actions) {
        String target = ranking.desiredOwner(slot.partition);
        if (target == null || target.equals(ownIncarnation)) {
            if (!draining) {
                slot.state = PartitionSlot.State.HELD;
                actions.add(
                        new OwnershipAction.Reacquired(
                                slot.partition, slot.heldRevision, slot.heldEpoch));
            }
            return;
        }
        SessionRecord session = sessions.get(target);
        slot.state = PartitionSlot.State.HANDING_OVER;
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

    private void handOverAttemptFinished(PartitionSlot slot, long nowNs) {
        if (slot.state == PartitionSlot.State.HANDING_OVER) {
            slot.state = PartitionSlot.State.QUIESCED;
            slot.retryAtNs = nowNs + settings.claimRetryMs() * NS_PER_MS;
        }
    }

    private void fenced(OwnershipEvent.Fenced fenced, List<OwnershipAction> actions) {
        PartitionSlot slot = slots[fenced.partition()];
        if (slot.held() && slot.heldRevision == fenced.claimRevision()) {
            slot.state = PartitionSlot.State.NONE;
            actions.add(new OwnershipAction.Lost(slot.partition));
            actions.add(new OwnershipAction.Refresh(slot.partition));
        }
    }

    private void tick(long nowNs, List<OwnershipAction> actions) {
        if (ownIncarnation == null || !directoryRead) {
            return;
        }
        forgetUnreferencedSessions();
        detectMassLoss(nowNs);
        claimOrphanedPartitions(nowNs, actions);
        int handOvers = 0;
        for (PartitionSlot slot : slots) {
            if (slot.state == PartitionSlot.State.QUIESCED && nowNs >= slot.retryAtNs) {
                handOver(slot, actions);
            }
            handOvers += slot.beingHandedOver() ? 1 : 0;
        }
        startHandOvers(nowNs, handOvers, actions);
    }

    private void claimOrphanedPartitions(long nowNs, List<OwnershipAction> actions) {
        List<ClaimRequest> requests = new ArrayList<>();
        for (PartitionSlot slot : slots) {
            if (nowNs < slot.retryAtNs) {
                continue;
            }
            boolean claimable =
                    slot.state == PartitionSlot.State.RECLAIMING
                            || (slot.state == PartitionSlot.State.NONE
                                    && !draining
                                    && orphaned(slot)
                                    && claimDelayElapsed(slot, nowNs));
            if (claimable) {
                slot.retryAtNs = nowNs + settings.claimRetryMs() * NS_PER_MS;
                if (slot.state == PartitionSlot.State.NONE) {
                    slot.state = PartitionSlot.State.CLAIMING;
                }
                requests.add(claimOf(slot));
            }
        }
        addClaims(requests, actions);
    }

    private void startHandOvers(long nowNs, int alreadyStarted, List<OwnershipAction> actions) {
        boolean stable = nowNs - sessionsChangedAtNs >= settings.stabilizationMs() * NS_PER_MS;
        if (!stable && !draining) {
            return;
        }
        int maxHandOvers =
                draining
                        ? settings.maxConcurrentHandOversDraining()
                        : settings.maxConcurrentHandOvers();
        int handOvers = alreadyStarted;
        for (PartitionSlot slot : slots) {
            if (handOvers >= maxHandOvers) {
                return;
            }
            if (slot.state == PartitionSlot.State.HELD) {
                String desired = ranking.desiredOwner(slot.partition);
                if (desired != null && !desired.equals(ownIncarnation)) {
                    slot.state = PartitionSlot.State.RELEASING;
                    actions.add(new OwnershipAction.Release(slot.partition, slot.heldRevision));
                    handOvers++;
                }
            }
        }
    }

    private boolean orphaned(PartitionSlot slot) {
        return slot.record == null || !sessions.containsKey(slot.record.incarnation());
    }

    private boolean claimDelayElapsed(PartitionSlot slot, long nowNs) {
        long ownerlessSinceNs = directoryReadAtNs;
        if (slot.record != null) {
            ownerlessSinceNs =
                    lostAtNsByIncarnation.computeIfAbsent(slot.record.incarnation(), key -> nowNs);
        }
        long graceMs =
                inMassLossGrace(nowNs) ? settings.massLossGraceMs() : settings.shortGraceMs();
        if (nowNs - ownerlessSinceNs < graceMs * NS_PER_MS) {
            return false;
        }
        int rank = ranking.rank(ownIncarnation, slot.partition);
        return rank >= 0
                && nowNs - ownerlessSinceNs
                        >= (graceMs + rank * settings.rankDelayMs()) * NS_PER_MS;
    }

    /**
     * Whether most sessions are lost, or were within the last {@link
     * OwnershipSettings#massLossGraceMs}.
     */
    private boolean inMassLossGrace(long nowNs) {
        return massLossDetected && nowNs - massLossAtNs < settings.massLossGraceMs() * NS_PER_MS;
    }

    /** Records the time if two or more sessions, and at least half of all known, are lost. */
    private void detectMassLoss(long nowNs) {
        int lost = lostAtNsByIncarnation.size();
        if (lost >= 2 && lost >= sessions.size()) {
            massLossDetected = true;
            massLossAtNs = nowNs;
        }
    }

    private void forgetUnreferencedSessions() {
        Set<String> referenced = new HashSet<>();
        for (PartitionSlot slot : slots) {
            if (slot.record != null) {
                referenced.add(slot.record.incarnation());
            }
        }
        lostAtNsByIncarnation.keySet().retainAll(referenced);
    }

    private ClaimRequest claimOf(PartitionSlot slot) {
        boolean reclaim = slot.state == PartitionSlot.State.RECLAIMING;
        long epoch = reclaim ? slot.heldEpoch : slot.record == null ? 0 : slot.record.epoch();
        return new ClaimRequest(
                slot.partition,
                slot.record == null ? 0 : slot.revision,
                Optional.ofNullable(slot.record).map(OwnerRecord::incarnation),
                new OwnerRecord(
                        ownIncarnation, ownSession.node(), ownSession.peerAddress(), epoch + 1));
    }

    private static void addClaims(List<ClaimRequest> requests, List<OwnershipAction> actions) {
        for (int from = 0; from < requests.size(); from += MAX_CLAIMS_PER_ACTION) {
            int to = Math.min(requests.size(), from + MAX_CLAIMS_PER_ACTION);
            actions.add(new OwnershipAction.Claim(requests.subList(from, to)));
        }
    }
}
