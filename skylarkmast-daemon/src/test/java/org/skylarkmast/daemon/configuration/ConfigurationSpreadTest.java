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

/** Random writers, restarts and faults: what was published stays, everywhere the same. */
class ConfigurationSpreadTest {
    private static final int NODES = 4;
    private static final int STEPS = 80;
    private static final int SEEDS = 40;

    @TempDir private Path folder;
    private final FakeStore store = new FakeStore();
    private final List<ConfigurationKeeper> keepers = new ArrayList<>();
    private final Map<Long, Configuration> published = new HashMap<>();
    private final Map<Integer, PublishOutcome> outcomeByLevel = new HashMap<>();
    private long[] lowestAllowed;
    private int nextLevel = 1;
    private Random random;

    static IntStream seeds() {
        return IntStream.range(0, SEEDS);
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void publishedSetsSpreadAndNeverRevert(int seed) {
        random = new Random(seed);
        lowestAllowed = new long[NODES];
        store.headWritten = entry -> record(ConfigurationHead.decode(entry.value()).orElseThrow());
        for (int node = 0; node < NODES; node++) {
            keepers.add(keeper(node));
        }
        for (int step = 0; step < STEPS; step++) {
            step();
            checkKeepers();
        }
        heal();
        long head = published.keySet().stream().mapToLong(Long::longValue).max().orElse(0);
        for (ConfigurationKeeper keeper : keepers) {
            keeper.poll(false);
            assertThat(keeper.current().revision()).isEqualTo(head);
        }
        checkKeepers();
        checkOutcomes();
    }

    private void step() {
        int node = random.nextInt(NODES);
        switch (random.nextInt(8)) {
            case 0, 1, 2 -> publish(node, random.nextInt(3));
            case 3, 4 -> keepers.get(node).poll(random.nextBoolean());
            case 5 -> restart(node);
            case 6 -> store.down = random.nextInt(3) == 0;
            default -> store.watchesSilent = random.nextBoolean();
        }
    }

    private void publish(int node, int writersBetween) {
        store.loseAnswers = Math.max(0, random.nextInt(4) - 1);
        store.loseRequests = Math.max(0, random.nextInt(4) - 1);
        if (writersBetween > 0) {
            store.beforeCommit = () -> publish(random.nextInt(NODES), writersBetween - 1);
        }
        int level = nextLevel++;
        OptionalLong base =
                random.nextBoolean()
                        ? OptionalLong.empty()
                        : OptionalLong.of(keepers.get(node).current().revision());
        ConfigurationPublisher publisher =
                new ConfigurationPublisher(
                        store,
                        new ConfigurationReader(store),
                        keepers.get(node)::published,
                        ms -> store.down = random.nextInt(6) == 0);
        PublishOutcome outcome =
                publisher.publish(
                        Changes.request(
                                base,
                                "write-" + level,
                                Changes.priority("p" + random.nextInt(5), level)));
        outcomeByLevel.put(level, outcome);
    }

    private void restart(int node) {
        keepers.get(node).close();
        boolean keepsFile = hasFolder(node);
        lowestAllowed[node] = keepsFile ? keepers.get(node).current().revision() : 0;
        ConfigurationKeeper restarted = keeper(node);
        restarted.readOnce();
        keepers.set(node, restarted);
    }

    private void heal() {
        store.down = false;
        store.loseAnswers = 0;
        store.loseRequests = 0;
    }

    private void checkKeepers() {
        for (int node = 0; node < NODES; node++) {
            Configuration current = keepers.get(node).current();
            assertThat(current.revision()).isAtLeast(lowestAllowed[node]);
            lowestAllowed[node] = current.revision();
            if (current.revision() > 0) {
                assertThat(current).isEqualTo(published.get(current.revision()));
            }
        }
    }

    /** A published change is in its revision; one answered as not run is in none. */
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
                        case PublishOutcome.Conflict conflict -> notIn(revisions, outcome);
                        case PublishOutcome.Unavailable unavailable -> notIn(revisions, outcome);
                        case PublishOutcome.Invalid invalid -> notIn(revisions, outcome);
                        case PublishOutcome.Checked checked -> notIn(revisions, outcome);
                    }
                });
    }

    private static void notIn(Set<Long> revisions, PublishOutcome outcome) {
        assertWithMessage("revisions with a change answered %s", outcome).that(revisions).isEmpty();
    }

    private void record(ConfigurationHead head) {
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

    private ConfigurationKeeper keeper(int node) {
        return new ConfigurationKeeper(
                store,
                new ConfigurationReader(store),
                hasFolder(node)
                        ? Optional.of(new ConfigurationFile(folder.resolve("node-" + node)))
                        : Optional.empty(),
                this::newerThan,
                () -> 0.5);
    }

    private static boolean hasFolder(int node) {
        return node % 2 == 0;
    }

    /** Peers answer with whatever they have, lagging ones too. */
    private List<byte[]> newerThan(long revision) {
        return keepers.stream()
                .map(ConfigurationKeeper::current)
                .map(ConfigurationSnapshot::encode)
                .toList();
    }
}
