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
    private final FakeStore store = new FakeStore();
    private final List<Long> accepted = new ArrayList<>();
    private final ConfigurationPublisher publisher = publisher();

    @Test
    void publishesRevisionAfterRevision() {
        assertThat(publisher.publish(Changes.put("p", 1))).isEqualTo(published(1));
        assertThat(publisher.publish(Changes.put("q", 2))).isEqualTo(published(2));
        assertThat(inForce().priorities().keySet()).containsExactly("p", "q");
        assertThat(accepted).containsExactly(1L, 2L).inOrder();
    }

    @Test
    void tellsTheLosingWriterBothRevisions() {
        publisher.publish(Changes.put("p", 1));
        store.beforeCommit = () -> publisher().publish(Changes.put("p", 2));
        assertThat(publisher.publish(Changes.putOn(1, "p", 3)))
                .isEqualTo(new PublishOutcome.Conflict(1, 2));
        assertThat(inForce().priorities().get("p").level()).isEqualTo(2);
    }

    @Test
    void losesNoChangeOfRacingWritersWithoutABase()
            throws InterruptedException, ExecutionException {
        int writers = 4;
        List<Future<PublishOutcome>> outcomes = new ArrayList<>();
        try (ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor()) {
            for (int i = 0; i < writers; i++) {
                ConfigurationPublisher.Request request = Changes.put("w" + i, i);
                outcomes.add(executor.submit(() -> publisher().publish(request)));
            }
        }
        List<PublishOutcome> done = new ArrayList<>();
        for (Future<PublishOutcome> outcome : outcomes) {
            done.add(outcome.get());
        }
        assertThat(done).containsExactly(published(1), published(2), published(3), published(4));
        assertThat(inForce().priorities()).hasSize(writers);
    }

    @ParameterizedTest(name = "answers {0}, requests {1} lost, {2} writers after")
    @CsvSource({"1,0,0", "0,1,0", "2,0,0", "0,3,0", "1,0,3", "1,0,15"})
    void settlesALostAnswerByItsWriteId(int answers, int requests, int writersAfter) {
        publisher.publish(Changes.put("p", 1));
        store.loseAnswers = answers;
        store.loseRequests = requests;
        ConfigurationPublisher pausing =
                new ConfigurationPublisher(
                        store,
                        new ConfigurationReader(store),
                        configuration -> {},
                        ms -> publishOthers(writersAfter));
        assertThat(pausing.publish(Changes.putOn(1, "p", 9))).isEqualTo(published(2));
        assertThat(inForce().priorities().get("p").level()).isEqualTo(9);
        assertThat(inForce().revision()).isEqualTo(2 + writersAfter);
    }

    @Test
    void admitsThatItDoesNotKnowAndSettlesOnRepetition() {
        publisher.publish(Changes.put("p", 1));
        store.loseAnswers = 1;
        ConfigurationPublisher pausing =
                new ConfigurationPublisher(
                        store, new ConfigurationReader(store), c -> {}, ms -> store.down = true);
        ConfigurationPublisher.Request request = Changes.putOn(1, "p", 9);
        assertThat(pausing.publish(request))
                .isEqualTo(new PublishOutcome.Unknown(request.writeId(), "down"));
        store.down = false;
        assertThat(publisher.publish(request)).isEqualTo(published(2));
        assertThat(inForce().revision()).isEqualTo(2);
    }

    @Test
    void doesNotGuessWhenTooManyWritesFollowed() {
        publisher.publish(Changes.put("p", 1));
        store.loseAnswers = 1;
        ConfigurationPublisher pausing =
                new ConfigurationPublisher(
                        store, new ConfigurationReader(store), c -> {}, ms -> publishOthers(16));
        assertThat(pausing.publish(Changes.putOn(1, "p", 9)))
                .isInstanceOf(PublishOutcome.Unknown.class);
    }

    @Test
    void changesNothingWhileTheServiceIsDown() {
        store.down = true;
        assertThat(publisher.publish(Changes.put("p", 1)))
                .isEqualTo(new PublishOutcome.Unavailable("down"));
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void writesNothingOnADryRunOrWithoutADifference(boolean dryRun) {
        publisher.publish(Changes.put("p", 1));
        long revision = store.revision;
        PublishOutcome outcome =
                publisher.publish(
                        new ConfigurationPublisher.Request(
                                OptionalLong.of(1),
                                new ChangeSet(
                                        List.of(Changes.priority("p", dryRun ? 2 : 1)), List.of()),
                                dryRun,
                                "w"));
        assertThat(outcome)
                .isInstanceOf(
                        dryRun ? PublishOutcome.Checked.class : PublishOutcome.Published.class);
        assertThat(store.revision).isEqualTo(revision);
    }

    @Test
    void refusesAnInvalidWholeSet() {
        ObjectName unknown = new ObjectName(ObjectKind.MODEL, "nil");
        PublishOutcome outcome =
                publisher.publish(
                        new ConfigurationPublisher.Request(
                                OptionalLong.empty(),
                                new ChangeSet(
                                        List.of(Changes.priority("p", 1), Changes.priority("p", 2)),
                                        List.of(unknown)),
                                false,
                                "w"));
        assertThat(((PublishOutcome.Invalid) outcome).problems()).hasSize(2);
        assertThat(store.entries).isEmpty();
    }

    @Test
    void publishesSetsLargerThanOneTransaction() {
        PublishOutcome outcome =
                publisher.publish(
                        Changes.request(OptionalLong.empty(), "w", Changes.bulk(40, 100)));
        assertThat(outcome).isEqualTo(published(1));
        assertThat(inForce().workspaces()).hasSize(40);
        assertThat(store.largestCommitBytes).isLessThan(1_100_000);
    }

    @Test
    void refusesAPartLargerThanAValueMayBe() {
        assertThat(
                        publisher.publish(
                                Changes.request(OptionalLong.empty(), "w", Changes.bulk(1, 1_000))))
                .isInstanceOf(PublishOutcome.Invalid.class);
    }

    @Test
    void keepsChunksOfThePreviousRevisionAndRemovesOlderOnes() {
        publisher.publish(Changes.put("p", 1));
        HeadOutcome.Found first = (HeadOutcome.Found) new ConfigurationReader(store).readHead();
        publisher.publish(Changes.put("p", 2));
        assertThat(new ConfigurationReader(store).load(first.stored().head()))
                .isInstanceOf(LoadOutcome.Loaded.class);
        IntStream.range(3, 30).forEach(i -> publisher.publish(Changes.put("p", i)));
        assertThat(store.entries).hasSize(3);
        assertThat(new ConfigurationReader(store).load(first.stored().head()))
                .isInstanceOf(LoadOutcome.Superseded.class);
    }

    private void publishOthers(int count) {
        for (int i = 0; i < count; i++) {
            publisher().publish(Changes.put("other", i));
        }
    }

    private Configuration inForce() {
        ConfigurationReader reader = new ConfigurationReader(store);
        HeadOutcome.Found found = (HeadOutcome.Found) reader.readHead();
        return ((LoadOutcome.Loaded) reader.load(found.stored().head())).configuration();
    }

    private ConfigurationPublisher publisher() {
        return new ConfigurationPublisher(
                store,
                new ConfigurationReader(store),
                configuration -> accepted.add(configuration.revision()),
                ms -> {});
    }

    private static PublishOutcome published(long revision) {
        return new PublishOutcome.Published(revision);
    }
}
