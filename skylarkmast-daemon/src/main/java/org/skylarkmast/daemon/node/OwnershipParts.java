package org.skylarkmast.daemon.node;

import java.util.UUID;
import org.skylarkmast.core.key.ProgramKey;
import org.skylarkmast.core.ownership.OwnershipSettings;
import org.skylarkmast.core.ownership.OwnershipStateMachine;
import org.skylarkmast.core.ownership.SessionRecord;
import org.skylarkmast.core.store.KeyValueStore;
import org.skylarkmast.daemon.journal.CopyStore;
import org.skylarkmast.daemon.journal.JournalReader;
import org.skylarkmast.daemon.journal.JournalSettings;
import org.skylarkmast.daemon.journal.JournalWriter;
import org.skylarkmast.daemon.ownership.NodeSession;
import org.skylarkmast.daemon.ownership.OwnershipService;
import org.skylarkmast.daemon.peer.CopyExchange;
import org.skylarkmast.daemon.peer.KnownPeers;
import org.skylarkmast.daemon.peer.PeerChannels;
import org.skylarkmast.daemon.settings.Settings;

/** Ownership, journal and copies of one node. */
final class OwnershipParts {

    /** Room for copies that this node keeps for others during an outage. */
    private static final long COPY_BYTES = 64L * 1024 * 1024;

    /** The lease's life is divided by this for renewals, so that two may be lost. */
    private static final long RENEWALS_PER_TTL = 3;

    /** Share of the lease's life that is not relied on; covers the difference of clock rates. */
    private static final long MARGIN_PER_TTL = 10;

    final NodeSession session;
    final JournalWriter journal;
    final OwnershipService ownership;
    final CopyExchange copies;
    final KnownPeers peers;

    OwnershipParts(
            Settings settings,
            String peerAddress,
            KeyValueStore store,
            PeerChannels channels,
            Loops loops) {
        String node = settings.node().name();
        long ttlMs = settings.store().leaseTtlMs();
        session =
                new NodeSession(
                        store,
                        System::nanoTime,
                        () -> node + "-" + UUID.randomUUID(),
                        new SessionRecord(
                                node,
                                settings.failureDomain(),
                                peerAddress,
                                settings.weight(),
                                false),
                        ttlMs,
                        ttlMs / MARGIN_PER_TTL);
        peers = new KnownPeers(node, () -> this.sessions(), System::nanoTime);
        copies =
                new CopyExchange(
                        peers,
                        channels,
                        new CopyStore(COPY_BYTES),
                        settings.failureDomain(),
                        loops.blocking);
        journal =
                new JournalWriter(
                        store,
                        loops.journal,
                        loops.blocking,
                        System::nanoTime,
                        () -> UUID.randomUUID().toString(),
                        copies,
                        JournalSettings.withWriteShare(settings.store().writesPerSecondShare()));
        ownership =
                new OwnershipService(
                        store,
                        session,
                        new OwnershipStateMachine(
                                ProgramKey.PARTITIONS,
                                OwnershipSettings.withClaimGrace(settings.timing().claimGraceMs())),
                        new JournalReader(store, copies),
                        journal,
                        loops.ownership,
                        loops.blocking,
                        System::nanoTime,
                        ttlMs / RENEWALS_PER_TTL);
    }

    private java.util.Map<String, SessionRecord> sessions() {
        return ownership.sessions();
    }
}
