package org.skylarkmast.daemon.configuration;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.skylarkmast.core.config.ChangeSet;
import org.skylarkmast.core.config.Configuration;
import org.skylarkmast.core.config.ObjectKind;
import org.skylarkmast.core.config.ObjectName;
import org.skylarkmast.core.config.PublishOutcome;

class ConfigurationPublisherTest {
    private final FakeKeyValueStore store = new FakeKeyValueStore();
    private final List<Long> publishedRevisions = new ArrayList<>();
    private final ConfigurationPublisher publisher = publisher();

    @Test
    void publishesConsecutiveRevisions() {
        assertThat(publisher.publish(ChangeFixtures.put("p", 1))).isEqualTo(published(1));
        assertThat(publisher.publish(ChangeFixtures.put("q", 2))).isEqualTo(published(2));
        assertThat(loadPublished().priorities().keySet()).containsExactly("p", "q");
        assertThat(publishedRevisions).containsExactly(1L, 2L).inOrder();
    }

    @Test
    void reportsBothRevisionsOnAConflict() {
        publisher.publish(ChangeFixtures.put("p", 1));
        store.beforeCommit = () -> publisher().publish(ChangeFixtures.put("p", 2));
        assertThat(publisher.publish(ChangeFixtures.putOn(1, "p", 3)))
                .isEqualTo(new PublishOutcome.Conflict(1, 2));
        assertThat(loadPublished().priorities().get("p").level()).isEqualTo(2);
    }

    @Test
    void appliesAllChangesOfConcurrentWritersWithoutABaseRevision()
            throws InterruptedException, ExecutionException {
        int writers = 4;
        List<Future<PublishOutcome>> outcomes = new ArrayList<>();
        try (ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor()) {
            for (int i = 0; i < writers; i++) {
                ConfigurationPublisher.Request request = ChangeFixtures.put("w" + i, i);
                outcomes.add(executor.submit(() -> publisher().publish(request)));
            }
        }
        List<PublishOutcome> completed = new ArrayList<>();
        for (Future<PublishOutcome> outcome : outcomes) {
            completed.add(outcome.get());
        }
        assertThat(completed)
                .containsExactly(published(1), published(2), published(3), published(4));
        assertThat(loadPublished().priorities()).hasSize(writers);
    }

    @ParameterizedTest(name = "{0} answers lost, {1} requests lost, {2} later writers")
    @CsvSource({"1,0,0", "0,1,0", "2,0,0", "0,3,0", "1,0,3", "1,0,15"})
    void determinesTheResultOfALostAnswerByTheWriteId(
            int lostAnswers, int lostRequests, int laterWriters) {
        publisher.publish(ChangeFixtures.put("p", 1));
        store.answersToLose = lostAnswers;
        store.requestsToLose = lostRequests;
        ConfigurationPublisher publisherWithHook =
                new ConfigurationPublisher(
                        store,
                        new ConfigurationReader(store),
                        configuration -> {},
                        ms -> publishOthers(laterWriters));
        assertThat(publisherWithHook.publish(ChangeFixtures.putOn(1, "p", 9)))
                .isEqualTo(published(2));
        assertThat(loadPublished().priorities().get("p").level()).isEqualTo(9);
        assertThat(loadPublished().revision()).isEqualTo(2 + laterWriters);
    }

    @Test
    void reportsAnUnknownResultAndDeterminesItOnRepetition() {
        publisher.publish(ChangeFixtures.put("p", 1));
        store.answersToLose = 1;
        ConfigurationPublisher publisherWithHook =
                new ConfigurationPublisher(
                        store,
                        new ConfigurationReader(store),
                        c -> {},
                        ms -> store.unavailable = true);
        ConfigurationPublisher.Request request = ChangeFixtures.putOn(1, "p", 9);
        assertThat(publisherWithHook.publish(request))
                .isEqualTo(new PublishOutcome.Unknown(request.writeId(), "down"));
        store.unavailable = false;
        assertThat(publisher.publish(request)).isEqualTo(published(2));
        assertThat(loadPublished().revision()).isEqualTo(2);
    }

    @Test
    void reportsAnUnknownResultIfTooManyWritesFollowed() {
        publisher.publish(ChangeFixtures.put("p", 1));
        store.answersToLose = 1;
        ConfigurationPublisher publisherWithHook =
                new ConfigurationPublisher(
                        store, new ConfigurationReader(store), c -> {}, ms -> publishOthers(16));
        assertThat(publisherWithHook.publish(ChangeFixtures.putOn(1, "p", 9)))
                .isInstanceOf(PublishOutcome.Unknown.class);
    }

    @Test
    void reportsAnUnavailableService() {
        store.unavailable = true;
        assertThat(publisher.publish(ChangeFixtures.put("p", 1)))
                .isEqualTo(new PublishOutcome.Unavailable("down"));
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void writesNothingOnADryRunOrIfNothingChanges(boolean dryRun) {
        publisher.publish(ChangeFixtures.put("p", 1));
        long revision = store.revision;
        PublishOutcome outcome =
                publisher.publish(
                        new ConfigurationPublisher.Request(
                                OptionalLong.of(1),
                                new ChangeSet(
                                        List.of(ChangeFixtures.priority("p", dryRun ? 2 : 1)),
                                        List.of()),
                                dryRun,
                                "w"));
        assertThat(outcome)
                .isInstanceOf(
                        dryRun ? PublishOutcome.Checked.class : PublishOutcome.Published.class);
        assertThat(store.revision).isEqualTo(revision);
    }

    @Test
    void rejectsAChangeThatMakesTheConfigurationInvalid() {
        ObjectName unknown = new ObjectName(ObjectKind.MODEL, "nil");
        PublishOutcome outcome =
                publisher.publish(
                        new ConfigurationPublisher.Request(
                                OptionalLong.empty(),
                                new ChangeSet(
                                        List.of(
                                                ChangeFixtures.priority("p", 1),
                                                ChangeFixtures.priority("p", 2)),
                                        List.of(unknown)),
                                false,
                                "w"));
        assertThat(((PublishOutcome.Invalid) outcome).problems()).hasSize(2);
        assertThat(store.entries).isEmpty();
    }

    @Test
    void publishesConfigurationsLargerThanOneTransaction() {
        PublishOutcome outcome =
                publisher.publish(
                        ChangeFixtures.request(
                                OptionalLong.empty(),
                                "w",
                                ChangeFixtures.largeWorkspaces(40, 100)));
        assertThat(outcome).isEqualTo(published(1));
        assertThat(loadPublished().workspaces()).hasSize(40);
        assertThat(store.largestCommitBytes).isLessThan(1_100_000);
    }

    @Test
    void rejectsAChunkLargerThanTheMaximumSize() {
        assertThat(
                        publisher.publish(
                                ChangeFixtures.request(
                                        OptionalLong.empty(),
                                        "w",
                                        ChangeFixtures.largeWorkspaces(1, 1_000))))
                .isInstanceOf(PublishOutcome.Invalid.class);
    }

    @Test
    void keepsChunksOfThePreviousRevisionAndDeletesOlderOnes() {
        publisher.publish(ChangeFixtures.put("p", 1));
        HeadReadOutcome.Found first =
                (HeadReadOutcome.Found) new ConfigurationReader(store).readHead();
        publisher.publish(ChangeFixtures.put("p", 2));
        assertThat(new ConfigurationReader(store).load(first.stored().head()))
                .isInstanceOf(LoadOutcome.Loaded.class);
        IntStream.range(3, 30).forEach(i -> publisher.publish(ChangeFixtures.put("p", i)));
        assertThat(store.entries).hasSize(3);
        assertThat(new ConfigurationReader(store).load(first.stored().head()))
                .isInstanceOf(LoadOutcome.Superseded.class);
    }

    private void publishOthers(int count) {
        for (int i = 0; i < count; i++) {
            publisher().publish(ChangeFixtures.put("other", i));
        }
    }

    private Configuration loadPublished() {
        ConfigurationReader reader = new ConfigurationReader(store);
        HeadReadOutcome.Found found = (HeadReadOutcome.Found) reader.readHead();
        return ((LoadOutcome.Loaded) reader.load(found.stored().head())).configuration();
    }

    private ConfigurationPublisher publisher() {
        return new ConfigurationPublisher(
                store,
                new ConfigurationReader(store),
                configuration -> publishedRevisions.add(configuration.revision()),
                ms -> {});
    }

    private static PublishOutcome published(long revision) {
        return new PublishOutcome.Published(revision);
    }
}
