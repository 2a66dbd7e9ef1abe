package org.skylarkmast.daemon.configuration;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.skylarkmast.core.config.ChangeSet;
import org.skylarkmast.core.config.Configuration;
import org.skylarkmast.core.config.ConfigurationChunks;
import org.skylarkmast.core.config.ConfigurationDiff;
import org.skylarkmast.core.config.PublishOutcome;
import org.skylarkmast.core.config.PublishPlan;
import org.skylarkmast.core.config.PublishPlan.StoredHead;
import org.skylarkmast.core.config.ValidationOutcome;
import org.skylarkmast.core.store.KeyValueStore;
import org.skylarkmast.core.store.StoreOutcome;
import org.skylarkmast.core.store.Txn;
import org.skylarkmast.core.store.TxnResult;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Publishes changes of the operators' objects by compare-and-swap on the configuration's head.
 *
 * <p>A lost answer is settled by the write id in the head: if the head has not changed, the same
 * transaction is sent again, which is idempotent as it compares the head's revision; if it has, the
 * lost write either is among the head's recent writes or can never take effect. Thread-safe.
 */
public final class ConfigurationPublisher {
    private static final Logger LOG = LoggerFactory.getLogger(ConfigurationPublisher.class);

    /** Tries of one publish; each costs two to three calls of the key-value service. */
    private static final int MAX_ATTEMPTS = 5;

    private static final long FIRST_PAUSE_MS = 100;

    private final KeyValueStore store;
    private final ConfigurationReader reader;
    private final Consumer<Configuration> published;
    private final LongConsumer pauseMs;

    /**
     * Creates a publisher.
     *
     * @param published takes each configuration published here
     * @param pauseMs waits before a further try, for about the milliseconds given
     */
    public ConfigurationPublisher(
            KeyValueStore store,
            ConfigurationReader reader,
            Consumer<Configuration> published,
            LongConsumer pauseMs) {
        this.store = store;
        this.reader = reader;
        this.published = published;
        this.pauseMs = pauseMs;
    }

    /**
     * A change to publish.
     *
     * @param baseRevision revision the change was based on; empty to base it on whichever is in
     *     force
     * @param changes the change
     * @param dryRun whether only to check it
     * @param writeId unique id of the change; repeating a request with it is idempotent
     */
    public record Request(
            OptionalLong baseRevision, ChangeSet changes, boolean dryRun, String writeId) {}

    /** Publishes a change; blocks on the key-value service. */
    public PublishOutcome publish(Request request) {
        PublishOutcome outcome = new Publishing(request).run();
        LOG.atInfo()
                .addKeyValue("event", "configuration_publish")
                .addKeyValue("writeId", request.writeId())
                .addKeyValue("applied", request.changes().apply().size())
                .addKeyValue("deleted", request.changes().delete().size())
                .addKeyValue("outcome", outcome.getClass().getSimpleName())
                .log();
        return outcome;
    }

    /** The state of one publish over its tries. */
    private final class Publishing {
        private final Request request;

        /** Revision of the head under a commit whose answer was lost; empty while none was. */
        private OptionalLong lostOnRevision = OptionalLong.empty();

        private String lastReason = "too many concurrent writers";

        Publishing(Request request) {
            this.request = request;
        }

        PublishOutcome run() {
            for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
                if (attempt > 0) {
                    pauseMs.accept(FIRST_PAUSE_MS << attempt);
                }
                Optional<PublishOutcome> outcome = attempt();
                if (outcome.isPresent()) {
                    return outcome.get();
                }
            }
            return failed(lastReason);
        }

        /** Tries once; empty if the state has moved and another try is due. */
        private Optional<PublishOutcome> attempt() {
            return switch (reader.readHead()) {
                case HeadOutcome.Found found -> attemptOn(Optional.of(found.stored()));
                case HeadOutcome.Absent absent -> attemptOn(Optional.empty());
                case HeadOutcome.Unavailable(String reason) -> {
                    lastReason = reason;
                    yield lostOnRevision.isPresent()
                            ? Optional.empty()
                            : Optional.of(failed(reason));
                }
                case HeadOutcome.Corrupt corrupt ->
                        Optional.of(failed("the stored configuration head is corrupt"));
            };
        }

        private Optional<PublishOutcome> attemptOn(Optional<StoredHead> base) {
            long revision = base.map(stored -> stored.head().revision()).orElse(0L);
            OptionalLong landed =
                    base.map(stored -> stored.head().revisionOf(request.writeId()))
                            .orElse(OptionalLong.empty());
            if (landed.isPresent()) {
                return Optional.of(new PublishOutcome.Published(landed.getAsLong()));
            }
            if (lostOnRevision.isPresent()
                    && base.isPresent()
                    && !base.get().head().remembersSince(lostOnRevision.getAsLong())) {
                return Optional.of(failed("too many writes followed to settle the lost answer"));
            }
            OptionalLong wanted = request.baseRevision();
            if (wanted.isPresent() && wanted.getAsLong() != revision) {
                return Optional.of(new PublishOutcome.Conflict(wanted.getAsLong(), revision));
            }
            if (base.isEmpty()) {
                return publishOn(base, Configuration.EMPTY);
            }
            return switch (reader.load(base.get().head())) {
                case LoadOutcome.Loaded loaded -> publishOn(base, loaded.configuration());
                case LoadOutcome.Superseded superseded -> Optional.empty();
                case LoadOutcome.Unavailable(String reason) -> Optional.of(failed(reason));
                case LoadOutcome.Unusable unusable ->
                        Optional.of(failed("the stored configuration is unusable"));
            };
        }

        private Optional<PublishOutcome> publishOn(
                Optional<StoredHead> base, Configuration current) {
            return switch (request.changes().applyTo(current)) {
                case ValidationOutcome.Invalid(var problems) ->
                        Optional.of(new PublishOutcome.Invalid(problems));
                case ValidationOutcome.Valid(Configuration next) -> {
                    ConfigurationDiff diff = ConfigurationDiff.between(current, next);
                    if (request.dryRun()) {
                        yield Optional.of(new PublishOutcome.Checked(current.revision(), diff));
                    }
                    if (diff.isEmpty()) {
                        yield Optional.of(new PublishOutcome.Published(current.revision()));
                    }
                    yield write(base, next);
                }
            };
        }

        private Optional<PublishOutcome> write(Optional<StoredHead> base, Configuration next) {
            var tooLarge = ConfigurationChunks.tooLarge(ConfigurationChunks.split(next));
            if (!tooLarge.isEmpty()) {
                return Optional.of(new PublishOutcome.Invalid(tooLarge));
            }
            PublishPlan plan = PublishPlan.of(base, next, request.writeId());
            for (Txn preparation : plan.preparations()) {
                if (!(store.commit(preparation) instanceof StoreOutcome.Done)) {
                    return Optional.of(failed("could not write chunks"));
                }
            }
            return switch (store.commit(plan.commit())) {
                case StoreOutcome.Done<TxnResult>(TxnResult result) -> {
                    if (!result.succeeded()) {
                        yield Optional.empty();
                    }
                    published.accept(next);
                    yield Optional.of(new PublishOutcome.Published(next.revision()));
                }
                case StoreOutcome.NotApplied<TxnResult>(String reason) ->
                        Optional.of(failed(reason));
                case StoreOutcome.Unknown<TxnResult>(String reason) -> {
                    lastReason = reason;
                    if (lostOnRevision.isEmpty()) {
                        lostOnRevision = OptionalLong.of(next.revision() - 1);
                    }
                    yield Optional.empty();
                }
            };
        }

        private PublishOutcome failed(String reason) {
            return lostOnRevision.isPresent()
                    ? new PublishOutcome.Unknown(request.writeId(), reason)
                    : new PublishOutcome.Unavailable(reason);
        }
    }
}
