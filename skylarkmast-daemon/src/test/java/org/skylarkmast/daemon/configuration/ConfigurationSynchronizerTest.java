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

class ConfigurationSynchronizerTest {
    @TempDir private Path folder;
    private final FakeKeyValueStore store = new FakeKeyValueStore();
    private final List<byte[]> peerSnapshots = new ArrayList<>();
    private final List<ConfigurationSynchronizer> synchronizers = new ArrayList<>();

    @AfterEach
    void closeSynchronizers() {
        synchronizers.forEach(ConfigurationSynchronizer::close);
    }

    @Test
    void appliesPublishedChangesInOrder() throws InterruptedException {
        CountDownLatch threeCalls = new CountDownLatch(3);
        List<Long> revisions = new ArrayList<>();
        ConfigurationSynchronizer synchronizer = newSynchronizer(true);
        synchronizer.addListener(configuration -> revisions.add(configuration.revision()));
        synchronizer.addListener(configuration -> threeCalls.countDown());
        publish(1);
        synchronizer.start();
        publish(2);
        assertThat(threeCalls.await(60, TimeUnit.SECONDS)).isTrue();
        assertThat(revisions).containsExactly(0L, 1L, 2L).inOrder();
    }

    @Test
    void reopensAWatchThatMissedAChange() {
        ConfigurationSynchronizer synchronizer = newSynchronizer(false);
        publish(1);
        synchronizer.poll(true);
        store.suppressWatchEvents = true;
        publish(2);
        assertThat(synchronizer.current().revision()).isEqualTo(1);
        synchronizer.poll(false);
        assertThat(synchronizer.current().revision()).isEqualTo(2);
        assertThat(store.watchesOpened).isEqualTo(2);
        assertThat(store.watchers).hasSize(1);
    }

    @ParameterizedTest
    @CsvSource({"0, 3000", "0.5, 4000", "0.999999, 5000"})
    void pollIntervalStaysWithinTheJitterBounds(double jitter, long intervalMs) {
        ConfigurationSynchronizer synchronizer =
                new ConfigurationSynchronizer(
                        store,
                        new ConfigurationReader(store),
                        Optional.empty(),
                        revision -> List.of(),
                        () -> jitter);
        assertThat(synchronizer.nextPollIntervalMs()).isEqualTo(intervalMs);
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void reopensALostWatch(boolean lostOnOpening) {
        ConfigurationSynchronizer synchronizer = newSynchronizer(false);
        publish(1);
        store.failNewWatches = lostOnOpening;
        synchronizer.poll(true);
        store.failNewWatches = false;
        List.copyOf(store.watchers).forEach(watcher -> watcher.accept(new WatchEvent.Lost("gap")));
        publish(2);
        synchronizer.poll(true);
        assertThat(synchronizer.current().revision()).isEqualTo(2);
        assertThat(store.watchesOpened).isEqualTo(2);
    }

    @Test
    void startsFromTheDataFolderWhileTheServiceIsUnavailable() {
        ConfigurationSynchronizer before = newSynchronizer(true);
        publish(1);
        publish(2);
        before.poll(true);
        store.unavailable = true;
        ConfigurationSynchronizer restarted = newSynchronizer(true);
        restarted.start();
        assertThat(restarted.current()).isEqualTo(before.current());
        assertThat(restarted.current().revision()).isEqualTo(2);
    }

    @Test
    void keepsTheHighestRevisionAcrossARestartWithADataFolder() {
        Configuration accepted = ChangeFixtures.configuration(7, 70);
        newSynchronizer(true).onPublished(accepted);
        publish(1);
        peerSnapshots.add(ConfigurationSnapshot.encode(ChangeFixtures.configuration(6, 60)));
        ConfigurationSynchronizer restarted = newSynchronizer(true);
        restarted.start();
        assertThat(restarted.current()).isEqualTo(accepted);
        store.unavailable = true;
        restarted.poll(false);
        assertThat(restarted.current()).isEqualTo(accepted);
        restarted.onPublished(ChangeFixtures.configuration(7, 71));
        assertThat(restarted.current()).isEqualTo(accepted);
    }

    @Test
    void acceptsTheHighestValidRevisionOfPeersWhileTheServiceIsUnavailable() {
        store.unavailable = true;
        byte[] original = ConfigurationSnapshot.encode(ChangeFixtures.configuration(9, 90));
        String corrupted = new String(original, StandardCharsets.UTF_8).replace("90", "91");
        peerSnapshots.add(ConfigurationSnapshot.encode(ChangeFixtures.configuration(3, 30)));
        peerSnapshots.add(ConfigurationSnapshot.encode(ChangeFixtures.configuration(5, 50)));
        peerSnapshots.add(ConfigurationSnapshot.encode(ChangeFixtures.configuration(4, 40)));
        peerSnapshots.add(corrupted.getBytes(StandardCharsets.UTF_8));
        peerSnapshots.add(new byte[] {'{'});
        ConfigurationSynchronizer synchronizer = newSynchronizer(true);
        synchronizer.start();
        assertThat(synchronizer.current()).isEqualTo(ChangeFixtures.configuration(5, 50));
        assertThat(new ConfigurationFile(folder).load()).hasValue(synchronizer.current());
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "{", "{\"revision\":1}", "[]"})
    void ignoresADamagedFile(String content) throws IOException {
        Files.writeString(folder.resolve("configuration.json"), content);
        Files.writeString(folder.resolve("configuration.json.tmp"), content);
        publish(1);
        ConfigurationSynchronizer synchronizer = newSynchronizer(true);
        synchronizer.start();
        assertThat(synchronizer.current().revision()).isEqualTo(1);
        assertThat(new ConfigurationFile(folder).load()).hasValue(synchronizer.current());
    }

    @Test
    void keepsTheConfigurationInForceIfThePublishedOneIsInvalid() {
        ConfigurationSynchronizer synchronizer = newSynchronizer(false);
        publish(1);
        synchronizer.poll(true);
        publish(2);
        store.entries.replaceAll(
                (key, entry) ->
                        key.endsWith("head")
                                ? entry
                                : new StoreEntry(key, new byte[] {'['}, 0, entry.modRevision(), 0));
        synchronizer.poll(true);
        assertThat(synchronizer.current().revision()).isEqualTo(1);
    }

    @Test
    void notifiesOtherListenersIfOneFails() {
        List<Long> notifiedRevisions = new ArrayList<>();
        Consumer<Configuration> failing =
                configuration -> {
                    if (configuration.revision() > 0) {
                        throw new IllegalStateException("listener fails");
                    }
                };
        ConfigurationSynchronizer synchronizer = newSynchronizer(false);
        synchronizer.addListener(failing);
        synchronizer.addListener(configuration -> notifiedRevisions.add(configuration.revision()));
        synchronizer.onPublished(ChangeFixtures.configuration(1, 1));
        assertThat(notifiedRevisions).containsExactly(0L, 1L).inOrder();
    }

    private void publish(int level) {
        new ConfigurationPublisher(store, new ConfigurationReader(store), c -> {}, ms -> {})
                .publish(ChangeFixtures.put("p", level));
    }

    private ConfigurationSynchronizer newSynchronizer(boolean withFolder) {
        ConfigurationSynchronizer synchronizer =
                new ConfigurationSynchronizer(
                        store,
                        new ConfigurationReader(store),
                        withFolder ? Optional.of(new ConfigurationFile(folder)) : Optional.empty(),
                        revision -> List.copyOf(peerSnapshots),
                        () -> 0.5);
        synchronizers.add(synchronizer);
        return synchronizer;
    }
}
