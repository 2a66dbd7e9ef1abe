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

/** The session, journal, ownership service and peer copies of one node. */
final class OwnershipComponents {

    /** Memory limit, in bytes, of the copies kept for peers while the key-value service is down. */
    private static final long MAX_COPY_BYTES = 64L * 1024 * 1024;

    /** Divides the lease TTL to give the renewal interval; two renewals in a row may be lost. */
    private static final long RENEWALS_PER_TTL = 3;

    /** Divides the lease TTL to give the safety margin, which covers differences in clock rates. */
    private static final long LEASE_MARGIN_DIVISOR = 10;

    final NodeSession session;
    final JournalWriter journal;
    final OwnershipService service;
    final CopyExchange copies;
    final KnownPeers peers;

    OwnershipComponents(
            Settings settings,
            String peerAddress,
            KeyValueStore store,
            PeerChannels channels,
            DaemonExecutors executors) {
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
                        ttlMs / LEASE_MARGIN_DIVISOR);
        peers = new KnownPeers(node, () -> this.sessions(), System::nanoTime);
        copies =
                new CopyExchange(
                        peers,
                        channels,
                        new CopyStore(MAX_COPY_BYTES),
                        settings.failureDomain(),
                        executors.blocking);
        journal =
                new JournalWriter(
                        store,
                        executors.journal,
                        executors.blocking,
                        System::nanoTime,
                        () -> UUID.randomUUID().toString(),
                        copies,
                        JournalSettings.withWriteShare(settings.store().writesPerSecondShare()));
        service =
                new OwnershipService(
                        store,
                        session,
                        new OwnershipStateMachine(
                                ProgramKey.PARTITIONS,
                                OwnershipSettings.withClaimGrace(settings.timing().claimGraceMs())),
                        new JournalReader(store, copies),
                        journal,
                        executors.ownership,
                        executors.blocking,
                        System::nanoTime,
                        ttlMs / RENEWALS_PER_TTL);
    }

    private java.util.Map<String, SessionRecord> sessions() {
        return service.sessions();
    }
}
