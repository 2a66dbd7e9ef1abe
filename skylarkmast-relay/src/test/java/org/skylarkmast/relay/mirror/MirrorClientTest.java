package org.skylarkmast.relay.mirror;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.skylarkmast.core.store.KeyValueStore;
import org.skylarkmast.core.store.LeaseState;
import org.skylarkmast.core.store.RangeResult;
import org.skylarkmast.core.store.StoreEntry;
import org.skylarkmast.core.store.StoreOutcome;
import org.skylarkmast.core.store.Txn;
import org.skylarkmast.core.store.TxnResult;
import org.skylarkmast.core.store.Watch;
import org.skylarkmast.core.store.WatchEvent;
import org.skylarkmast.http.HttpClient;
import org.skylarkmast.http.HttpReply;
import org.skylarkmast.http.HttpServer;
import org.skylarkmast.relay.ledger.CurrentView;
import org.skylarkmast.relay.ledger.LedgerClient;
import org.skylarkmast.relay.ledger.LedgerCodec;
import org.skylarkmast.relay.ledger.LedgerView;
import org.skylarkmast.relay.ledger.StorageNodeClient;

/** Tests an entry node's mirror between the service and storage nodes of which some are behind. */
class MirrorClientTest {
    private static final long WAIT_NS = TimeUnit.SECONDS.toNanos(20);
    private static final int MAX_BODY_BYTES = 1 << 20;

    private final AtomicLong storeRevision = new AtomicLong(5);
    private final CountDownLatch ended = new CountDownLatch(1);
    private final List<HttpServer> storageNodes = new ArrayList<>();
    private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
    private final HttpClient http = new HttpClient(4, 300);
    private final ConcurrentLinkedQueue<Long> applied = new ConcurrentLinkedQueue<>();
    private final ConcurrentLinkedQueue<Long> read = new ConcurrentLinkedQueue<>();
    private MirrorClient client;

    /** What a storage node answers while the service has moved on to a newer revision. */
    private enum Behaviour {
        /** Accepts connections and never answers. */
        FROZEN(0, false),
        NOT_CONNECTED(5, false),
        RESTARTED_WITHOUT_CONTENT(0, false),
        BEHIND_AND_NOT_CONNECTED(3, false),
        BEHIND_AND_SURE_OF_ITS_WATCH(3, true);

        private final long revision;
        private final boolean upToDate;

        Behaviour(long revision, boolean upToDate) {
            this.revision = revision;
            this.upToDate = upToDate;
        }
    }

    /** The service, of which only reads are used. */
    private final class Store implements KeyValueStore {
        @Override
        public StoreOutcome<RangeResult> range(String fromKey, String toKey, int limit) {
            long revision = storeRevision.get();
            read.add(revision);
            return new StoreOutcome.Done<>(
                    new RangeResult(List.of(configuration(revision)), revision, false));
        }

        @Override
        public Watch watch(
                String fromKey, String toKey, long fromRevision, Consumer<WatchEvent> listener) {
            throw new UnsupportedOperationException();
        }

        @Override
        public StoreOutcome<TxnResult> commit(Txn txn) {
            throw new UnsupportedOperationException();
        }

        @Override
        public StoreOutcome<LeaseState> grantLease(long ttlMs) {
            throw new UnsupportedOperationException();
        }

        @Override
        public StoreOutcome<LeaseState> renewLease(long leaseId) {
            throw new UnsupportedOperationException();
        }

        @Override
        public StoreOutcome<LeaseState> revokeLease(long leaseId) {
            throw new UnsupportedOperationException();
        }

        @Override
        public void close() {}
    }

    private static StoreEntry configuration(long revision) {
        byte[] value = Long.toString(revision).getBytes(StandardCharsets.UTF_8);
        return new StoreEntry("config", value, 1, revision, 0);
    }

    @AfterEach
    void stop() {
        client.close();
        ended.countDown();
        storageNodes.forEach(HttpServer::close);
        http.close();
        executor.shutdownNow();
    }

    private HttpReply answer(Behaviour behaviour) throws InterruptedException {
        if (behaviour == Behaviour.FROZEN) {
            ended.await();
        }
        List<StoreEntry> entries =
                behaviour.revision == 0 ? List.of() : List.of(configuration(behaviour.revision));
        MirrorChanges changes =
                new MirrorChanges(behaviour.revision, true, behaviour.upToDate, entries, List.of());
        return new HttpReply.Full(
                200,
                Map.of(),
                StorageNodeClient.MEDIA_TYPE,
                LedgerCodec.encode(out -> MirrorCodec.write(out, changes)));
    }

    private void start(Behaviour... behaviours) throws IOException {
        List<LedgerView.Member> members = new ArrayList<>();
        for (Behaviour behaviour : behaviours) {
            HttpServer server =
                    HttpServer.start(
                            "127.0.0.1",
                            0,
                            MAX_BODY_BYTES,
                            call -> {
                                try {
                                    return answer(behaviour);
                                } catch (InterruptedException e) {
                                    Thread.currentThread().interrupt();
                                    return HttpReply.text(503, "ending\n");
                                }
                            });
            storageNodes.add(server);
            members.add(
                    new LedgerView.Member(
                            "storage-" + members.size(), "127.0.0.1:" + server.port()));
        }
        CurrentView views = new CurrentView(_ -> {});
        views.offer(new LedgerView(1, members));
        StorageNodeClient calls = new StorageNodeClient(http, views::offer);
        StoreMirror.Listener listener =
                new StoreMirror.Listener() {
                    @Override
                    public void written(StoreEntry entry) {
                        applied.add(entry.modRevision());
                    }

                    @Override
                    public void removed(String key) {
                        applied.add(0L);
                    }

                    @Override
                    public void loaded() {}
                };
        client =
                new MirrorClient(
                        new Store(),
                        new KeyRange("", "\uffff"),
                        new StoreMirror(listener, System::nanoTime),
                        new LedgerClient(views, calls, "127.0.", executor, 30));
    }

    private void awaitApplied(Long... revisions) {
        long startedNs = System.nanoTime();
        while (applied.size() < revisions.length && System.nanoTime() - startedNs < WAIT_NS) {
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(1));
        }
        assertThat(applied).containsExactlyElementsIn(revisions).inOrder();
    }

    @ParameterizedTest
    @EnumSource
    void storageNodeThatIsBehindKeepsNoChangeBackAndRevertsNone(Behaviour behaviour)
            throws IOException {
        start(behaviour, behaviour);
        awaitApplied(5L);
        storeRevision.set(6);
        awaitApplied(5L, 6L);
        storeRevision.set(9);
        awaitApplied(5L, 6L, 9L);
        assertThat(client.proofAgeSeconds()).isFinite();
    }

    @Test
    void frozenStorageNodeBesideOnesThatAreBehindKeepsNoChangeBack() throws IOException {
        start(
                Behaviour.FROZEN,
                Behaviour.BEHIND_AND_SURE_OF_ITS_WATCH,
                Behaviour.NOT_CONNECTED,
                Behaviour.FROZEN);
        awaitApplied(5L);
        storeRevision.set(6);
        awaitApplied(5L, 6L);
        storeRevision.set(9);
        awaitApplied(5L, 6L, 9L);
    }

    /** Guards against a read that is older than what the node has, from a replica that lags. */
    @Test
    void readThatIsOlderThanTheMirrorRevertsNothing() throws IOException {
        start(Behaviour.NOT_CONNECTED);
        awaitApplied(5L);
        storeRevision.set(3);
        long startedNs = System.nanoTime();
        while (!read.contains(3L) && System.nanoTime() - startedNs < WAIT_NS) {
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(1));
        }
        assertThat(read).contains(3L);
        storeRevision.set(6);
        awaitApplied(5L, 6L);
    }
}
