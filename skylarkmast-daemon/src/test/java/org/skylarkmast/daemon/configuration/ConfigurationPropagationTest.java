package org.skylarkmast.daemon.configuration;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.skylarkmast.core.config.Configuration;
import org.skylarkmast.core.config.ConfigurationChunks;
import org.skylarkmast.core.config.ConfigurationChunks.Chunk;
import org.skylarkmast.core.config.ConfigurationHead;
import org.skylarkmast.core.config.ConfigurationKeys;
import org.skylarkmast.core.config.ConfigurationSnapshot;
import org.skylarkmast.core.config.Priority;
import org.skylarkmast.core.config.PublishOutcome;
import org.skylarkmast.core.config.ValidationOutcome;

/**
 * Runs random sequences of publishes, restarts and faults of the key-value service. Guards against
 * a node that returns to an older revision, nodes that hold different configurations under one
 * revision, and a publish whose reported outcome does not match the published configurations.
 */
class ConfigurationPropagationTest {
    private static final int NODES = 4;
    private static final int STEPS = 80;
    private static final int SEEDS = 40;

    @TempDir private Path folder;
    private final FakeKeyValueStore store = new FakeKeyValueStore();
    private final List<ConfigurationSynchronizer> synchronizers = new ArrayList<>();
    private final Map<Long, Configuration> published = new HashMap<>();
    private final Map<Integer, PublishOutcome> outcomeByLevel = new HashMap<>();
    private long[] minRevisions;
    private int nextLevel = 1;
    private Random random;

    static IntStream seeds() {
        return IntStream.range(0, SEEDS);
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void publishedConfigurationsReachAllNodesAndAreNeverReverted(int seed) {
        random = new Random(seed);
        minRevisions = new long[NODES];
        store.headWriteListener =
                entry -> recordPublished(ConfigurationHead.decode(entry.value()).orElseThrow());
        for (int node = 0; node < NODES; node++) {
            synchronizers.add(newSynchronizer(node));
        }
        for (int step = 0; step < STEPS; step++) {
            runRandomStep();
            checkSynchronizers();
        }
        clearFaults();
        long head = published.keySet().stream().mapToLong(Long::longValue).max().orElse(0);
        for (ConfigurationSynchronizer synchronizer : synchronizers) {
            synchronizer.poll(false);
            assertThat(synchronizer.current().revision()).isEqualTo(head);
        }
        checkSynchronizers();
        checkOutcomes();
    }

    private void runRandomStep() {
        int node = random.nextInt(NODES);
        switch (random.nextInt(8)) {
            case 0, 1, 2 -> publish(node, random.nextInt(3));
            case 3, 4 -> synchronizers.get(node).poll(random.nextBoolean());
            case 5 -> restart(node);
            case 6 -> store.unavailable = random.nextInt(3) == 0;
            default -> store.suppressWatchEvents = random.nextBoolean();
        }
    }

    private void publish(int node, int concurrentWriters) {
        store.answersToLose = Math.max(0, random.nextInt(4) - 1);
        store.requestsToLose = Math.max(0, random.nextInt(4) - 1);
        if (concurrentWriters > 0) {
            store.beforeCommit = () -> publish(random.nextInt(NODES), concurrentWriters - 1);
        }
        int level = nextLevel++;
        OptionalLong base =
                random.nextBoolean()
                        ? OptionalLong.empty()
                        : OptionalLong.of(synchronizers.get(node).current().revision());
        ConfigurationPublisher publisher =
                new ConfigurationPublisher(
                        store,
                        new ConfigurationReader(store),
                        synchronizers.get(node)::onPublished,
                        ms -> store.unavailable = random.nextInt(6) == 0);
        PublishOutcome outcome =
                publisher.publish(
                        ChangeFixtures.request(
                                base,
                                "write-" + level,
                                ChangeFixtures.priority("p" + random.nextInt(5), level)));
        outcomeByLevel.put(level, outcome);
    }

    private void restart(int node) {
        synchronizers.get(node).close();
        boolean keepsRevision = hasDataFolder(node);
        minRevisions[node] = keepsRevision ? synchronizers.get(node).current().revision() : 0;
        ConfigurationSynchronizer restarted = newSynchronizer(node);
        restarted.loadInitial();
        synchronizers.set(node, restarted);
    }

    private void clearFaults() {
        store.unavailable = false;
        store.answersToLose = 0;
        store.requestsToLose = 0;
    }

    private void checkSynchronizers() {
        for (int node = 0; node < NODES; node++) {
            Configuration current = synchronizers.get(node).current();
            assertThat(current.revision()).isAtLeast(minRevisions[node]);
            minRevisions[node] = current.revision();
            if (current.revision() > 0) {
                assertThat(current).isEqualTo(published.get(current.revision()));
            }
        }
    }

    /**
     * A change reported as published is part of that revision; one reported as not applied is part
     * of none.
     */
    private void checkOutcomes() {
        Map<Integer, Set<Long>> revisionsByLevel = new HashMap<>();
        published.forEach(
                (revision, configuration) ->
                        levels(configuration)
                                .forEach(
                                        level ->
                                                revisionsByLevel
                                                        .computeIfAbsent(
                                                                level, key -> new HashSet<>())
                                                        .add(revision)));
        outcomeByLevel.forEach(
                (level, outcome) -> {
                    Set<Long> revisions = revisionsByLevel.getOrDefault(level, Set.of());
                    switch (outcome) {
                        case PublishOutcome.Published done ->
                                assertThat(revisions).contains(done.revision());
                        case PublishOutcome.Unknown unknown -> {}
                        case PublishOutcome.Conflict conflict ->
                                assertNotPublished(revisions, outcome);
                        case PublishOutcome.Unavailable unavailable ->
                                assertNotPublished(revisions, outcome);
                        case PublishOutcome.Invalid invalid ->
                                assertNotPublished(revisions, outcome);
                        case PublishOutcome.Checked checked ->
                                assertNotPublished(revisions, outcome);
                    }
                });
    }

    private static void assertNotPublished(Set<Long> revisions, PublishOutcome outcome) {
        assertWithMessage("revisions with a change answered %s", outcome).that(revisions).isEmpty();
    }

    private void recordPublished(ConfigurationHead head) {
        List<Chunk> chunks =
                head.chunks().stream()
                        .map(
                                digest ->
                                        new Chunk(
                                                digest,
                                                store.entries
                                                        .get(ConfigurationKeys.chunk(digest))
                                                        .value()))
                        .toList();
        ValidationOutcome.Valid valid =
                (ValidationOutcome.Valid) ConfigurationChunks.assemble(head.revision(), chunks);
        assertThat(published.put(head.revision(), valid.configuration())).isNull();
    }

    private static Set<Integer> levels(Configuration configuration) {
        return configuration.priorities().values().stream()
                .map(Priority::level)
                .collect(Collectors.toSet());
    }

    private ConfigurationSynchronizer newSynchronizer(int node) {
        return new ConfigurationSynchronizer(
                store,
                new ConfigurationReader(store),
                hasDataFolder(node)
                        ? Optional.of(new ConfigurationFile(folder.resolve("node-" + node)))
                        : Optional.empty(),
                this::newerThan,
                () -> 0.5);
    }

    private static boolean hasDataFolder(int node) {
        return node % 2 == 0;
    }

    /** Returns the configurations of all peers, including outdated ones. */
    private List<byte[]> newerThan(long revision) {
        return synchronizers.stream()
                .map(ConfigurationSynchronizer::current)
                .map(ConfigurationSnapshot::encode)
                .toList();
    }
}
