package org.skylarkmast.daemon.configuration;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.skylarkmast.core.config.Configuration;
import org.skylarkmast.core.config.ConfigurationSnapshot;
import org.skylarkmast.core.store.StoreEntry;
import org.skylarkmast.core.store.WatchEvent;

class ConfigurationKeeperTest {
    @TempDir private Path folder;
    private final FakeStore store = new FakeStore();
    private final List<byte[]> peerSnapshots = new ArrayList<>();
    private final List<ConfigurationKeeper> keepers = new ArrayList<>();

    @AfterEach
    void closeKeepers() {
        keepers.forEach(ConfigurationKeeper::close);
    }

    @Test
    void putsPublishedChangesInForce() throws InterruptedException {
        CountDownLatch third = new CountDownLatch(3);
        List<Long> revisions = new ArrayList<>();
        ConfigurationKeeper keeper = keeper(true);
        keeper.addListener(configuration -> revisions.add(configuration.revision()));
        keeper.addListener(configuration -> third.countDown());
        publish(1);
        keeper.start();
        publish(2);
        assertThat(third.await(60, TimeUnit.SECONDS)).isTrue();
        assertThat(revisions).containsExactly(0L, 1L, 2L).inOrder();
    }

    @Test
    void findsAChangeThatASilentWatchMissedAndOpensANewWatch() {
        ConfigurationKeeper keeper = keeper(false);
        publish(1);
        keeper.poll(true);
        store.watchesSilent = true;
        publish(2);
        assertThat(keeper.current().revision()).isEqualTo(1);
        keeper.poll(false);
        assertThat(keeper.current().revision()).isEqualTo(2);
        assertThat(store.watchesOpened).isEqualTo(2);
        assertThat(store.watchers).hasSize(1);
    }

    @ParameterizedTest
    @CsvSource({"0, 3000", "0.5, 4000", "0.999999, 5000"})
    void pollsOftenEnoughForTheBoundOnSpread(double jitter, long delayMs) {
        ConfigurationKeeper keeper =
                new ConfigurationKeeper(
                        store,
                        new ConfigurationReader(store),
                        Optional.empty(),
                        revision -> List.of(),
                        () -> jitter);
        assertThat(keeper.nextPollDelayMs()).isEqualTo(delayMs);
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void opensALostWatchAnew(boolean lostAtOnce) {
        ConfigurationKeeper keeper = keeper(false);
        publish(1);
        store.loseWatchAtOnce = lostAtOnce;
        keeper.poll(true);
        store.loseWatchAtOnce = false;
        List.copyOf(store.watchers).forEach(w -> w.accept(new WatchEvent.Lost("gap")));
        publish(2);
        keeper.poll(true);
        assertThat(keeper.current().revision()).isEqualTo(2);
        assertThat(store.watchesOpened).isEqualTo(2);
    }

    @Test
    void startsFromTheDataFolderWhileTheServiceIsDown() {
        ConfigurationKeeper before = keeper(true);
        publish(1);
        publish(2);
        before.poll(true);
        store.down = true;
        ConfigurationKeeper restarted = keeper(true);
        restarted.start();
        assertThat(restarted.current()).isEqualTo(before.current());
        assertThat(restarted.current().revision()).isEqualTo(2);
    }

    @Test
    void neverRevertsOverARestartWithADataFolder() {
        Configuration accepted = Changes.configuration(7, 70);
        keeper(true).published(accepted);
        publish(1);
        peerSnapshots.add(ConfigurationSnapshot.encode(Changes.configuration(6, 60)));
        ConfigurationKeeper restarted = keeper(true);
        restarted.start();
        assertThat(restarted.current()).isEqualTo(accepted);
        store.down = true;
        restarted.poll(false);
        assertThat(restarted.current()).isEqualTo(accepted);
        restarted.published(Changes.configuration(7, 71));
        assertThat(restarted.current()).isEqualTo(accepted);
    }

    @Test
    void takesTheHighestValidRevisionOfPeersWhileTheServiceIsDown() {
        store.down = true;
        byte[] forged = ConfigurationSnapshot.encode(Changes.configuration(9, 90));
        String text = new String(forged, StandardCharsets.UTF_8).replace("90", "91");
        peerSnapshots.add(ConfigurationSnapshot.encode(Changes.configuration(3, 30)));
        peerSnapshots.add(ConfigurationSnapshot.encode(Changes.configuration(5, 50)));
        peerSnapshots.add(ConfigurationSnapshot.encode(Changes.configuration(4, 40)));
        peerSnapshots.add(text.getBytes(StandardCharsets.UTF_8));
        peerSnapshots.add(new byte[] {'{'});
        ConfigurationKeeper keeper = keeper(true);
        keeper.start();
        assertThat(keeper.current()).isEqualTo(Changes.configuration(5, 50));
        assertThat(new ConfigurationFile(folder).load()).hasValue(keeper.current());
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "{", "{\"revision\":1}", "[]"})
    void ignoresADamagedFile(String content) throws IOException {
        Files.writeString(folder.resolve("configuration.json"), content);
        Files.writeString(folder.resolve("configuration.json.tmp"), content);
        publish(1);
        ConfigurationKeeper keeper = keeper(true);
        keeper.start();
        assertThat(keeper.current().revision()).isEqualTo(1);
        assertThat(new ConfigurationFile(folder).load()).hasValue(keeper.current());
    }

    @Test
    void keepsWhatIsInForceWhenWhatIsStoredIsUnusable() {
        ConfigurationKeeper keeper = keeper(false);
        publish(1);
        keeper.poll(true);
        publish(2);
        store.entries.replaceAll(
                (key, entry) ->
                        key.endsWith("head")
                                ? entry
                                : new StoreEntry(key, new byte[] {'['}, 0, entry.modRevision(), 0));
        keeper.poll(true);
        assertThat(keeper.current().revision()).isEqualTo(1);
    }

    @Test
    void tellsOtherListenersWhenOneFails() {
        List<Long> told = new ArrayList<>();
        Consumer<Configuration> failing =
                configuration -> {
                    if (configuration.revision() > 0) {
                        throw new IllegalStateException("listener fails");
                    }
                };
        ConfigurationKeeper keeper = keeper(false);
        keeper.addListener(failing);
        keeper.addListener(configuration -> told.add(configuration.revision()));
        keeper.published(Changes.configuration(1, 1));
        assertThat(told).containsExactly(0L, 1L).inOrder();
    }

    private void publish(int level) {
        new ConfigurationPublisher(store, new ConfigurationReader(store), c -> {}, ms -> {})
                .publish(Changes.put("p", level));
    }

    private ConfigurationKeeper keeper(boolean withFolder) {
        ConfigurationKeeper keeper =
                new ConfigurationKeeper(
                        store,
                        new ConfigurationReader(store),
                        withFolder ? Optional.of(new ConfigurationFile(folder)) : Optional.empty(),
                        revision -> List.copyOf(peerSnapshots),
                        () -> 0.5);
        keepers.add(keeper);
        return keeper;
    }
}
