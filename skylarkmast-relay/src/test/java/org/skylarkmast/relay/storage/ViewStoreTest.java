package org.skylarkmast.relay.storage;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.skylarkmast.relay.ledger.CurrentView;
import org.skylarkmast.relay.ledger.LedgerView;

/** Tests what a storage node knows about views after a restart. */
class ViewStoreTest {
    private static final LedgerView.Member A = new LedgerView.Member("a", "127.0.0.1:1");
    private static final LedgerView.Member B = new LedgerView.Member("b", "127.0.0.1:2");
    private static final LedgerView.Member C = new LedgerView.Member("c", "127.0.0.1:3");
    private static final LedgerView FIRST = new LedgerView(1, List.of(A));
    private static final LedgerView SECOND = FIRST.with(B);
    private static final LedgerView THIRD = SECOND.with(C);

    @TempDir private Path folder;

    private ViewStore open() throws IOException {
        return new ViewStore(folder, DiskSync.FILE_DATA);
    }

    private void storeAllViews() throws IOException {
        ViewStore store = open();
        store.storeView(FIRST);
        store.storeView(SECOND);
        store.storeView(THIRD);
    }

    @Test
    void emptyFolderHoldsNothing() throws IOException {
        ViewStore store = open();
        assertThat(store.latest()).isEqualTo(LedgerView.NONE);
        assertThat(store.view(0)).isEqualTo(LedgerView.NONE);
        assertThat(store.syncedVersion()).isEqualTo(0);
        assertThat(store.initialSyncDone()).isFalse();
    }

    @Test
    void keepsTheNewestViewAndTheOneBeforeIt() throws IOException {
        storeAllViews();
        ViewStore store = open();
        assertThat(store.latest()).isEqualTo(THIRD);
        assertThat(store.view(2)).isEqualTo(SECOND);
        assertThat(store.view(1)).isNull();
    }

    @Test
    void keepsTheHighestSyncedVersion() throws IOException {
        ViewStore store = open();
        store.storeSyncedVersion(9);
        store.storeSyncedVersion(10);
        store.storeSyncedVersion(4);
        store.storeInitialSync();
        ViewStore reopened = open();
        assertThat(reopened.syncedVersion()).isEqualTo(10);
        assertThat(reopened.initialSyncDone()).isTrue();
    }

    @ParameterizedTest(name = "{0} bytes left")
    @ValueSource(ints = {0, 1, 3, 4, 5, 20})
    void tornViewIsIgnored(int length) throws IOException {
        storeAllViews();
        Path newest = folder.resolve("view-3");
        Files.write(newest, Arrays.copyOf(Files.readAllBytes(newest), length));
        assertThat(open().latest()).isEqualTo(SECOND);
    }

    @ParameterizedTest(name = "{0}")
    @ValueSource(strings = {"view-", "view-x", "synced-", "synced-3.tmp"})
    void filesWithoutAVersionAreIgnored(String name) throws IOException {
        storeAllViews();
        Files.write(folder.resolve(name), new byte[] {1});
        ViewStore store = open();
        assertThat(store.latest()).isEqualTo(THIRD);
        assertThat(store.syncedVersion()).isEqualTo(0);
    }

    @Test
    void olderFilesThatReappearAreIgnored() throws IOException {
        ViewStore store = open();
        store.storeView(FIRST);
        store.storeSyncedVersion(1);
        byte[] first = Files.readAllBytes(folder.resolve("view-1"));
        store.storeView(SECOND);
        store.storeView(THIRD);
        store.storeSyncedVersion(3);
        Files.write(folder.resolve("view-1"), first);
        Files.createFile(folder.resolve("synced-1"));
        ViewStore reopened = open();
        assertThat(reopened.latest()).isEqualTo(THIRD);
        assertThat(reopened.syncedVersion()).isEqualTo(3);
    }

    @Test
    void viewThatTheDiskDoesNotTakeDoesNotComeIntoForce() throws IOException {
        AtomicBoolean failing = new AtomicBoolean();
        ViewStore store =
                new ViewStore(
                        folder,
                        _ -> {
                            if (failing.get()) {
                                throw new IOException("no space left");
                            }
                        });
        CurrentView views = new CurrentView(store::storeView, _ -> {});
        views.offer(FIRST);
        failing.set(true);
        views.offer(SECOND);
        assertThat(views.current()).isEqualTo(FIRST);
        assertThrows(IOException.class, () -> store.storeSyncedVersion(2));
        assertThat(store.syncedVersion()).isEqualTo(0);
        failing.set(false);
        views.offer(SECOND);
        assertThat(views.current()).isEqualTo(SECOND);
    }
}
