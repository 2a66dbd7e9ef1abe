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
 * Publishes changes to the configuration by compare-and-swap on the configuration head.
 *
 * <p>If the answer to a commit is lost, the head shows whether it took effect. If the head is
 * unchanged, the same transaction is sent again, which is idempotent because it compares the
 * revision of the head. If the head has changed, either the write id is among its recent writes, or
 * the write can no longer take effect. Thread-safe.
 */
public final class ConfigurationPublisher {
    private static final Logger LOG = LoggerFactory.getLogger(ConfigurationPublisher.class);

    /**
     * Maximum number of attempts per request; each takes two to three calls to the key-value
     * service.
     */
    private static final int MAX_ATTEMPTS = 5;

    /** Back-off before the first retry is twice this value; it doubles with every retry. */
    private static final long BASE_BACKOFF_MS = 100;

    private final KeyValueStore store;
    private final ConfigurationReader reader;
    private final Consumer<Configuration> publishedListener;
    private final LongConsumer backOffMs;

    /**
     * Creates a publisher.
     *
     * @param publishedListener receives each configuration that this instance published
     * @param backOffMs waits before a retry for about the given number of milliseconds
     */
    public ConfigurationPublisher(
            KeyValueStore store,
            ConfigurationReader reader,
            Consumer<Configuration> publishedListener,
            LongConsumer backOffMs) {
        this.store = store;
        this.reader = reader;
        this.publishedListener = publishedListener;
        this.backOffMs = backOffMs;
    }

    /**
     * A change to publish.
     *
     * @param baseRevision revision that the change is based on; empty to base it on the current
     *     revision
     * @param changes the objects to add, replace and delete
     * @param dryRun whether to validate the change without publishing it
     * @param writeId unique id of the change; repeating a request with it is idempotent
     */
    public record Request(
            OptionalLong baseRevision, ChangeSet changes, boolean dryRun, String writeId) {}

    /** Publishes a change; blocks while waiting for the key-value service. */
    public PublishOutcome publish(Request request) {
        PublishOutcome outcome = new PublishAttempts(request).run();
        LOG.atInfo()
                .addKeyValue("event", "configuration_publish")
                .addKeyValue("writeId", request.writeId())
                .addKeyValue("applied", request.changes().apply().size())
                .addKeyValue("deleted", request.changes().delete().size())
                .addKeyValue("outcome", outcome.getClass().getSimpleName())
                .log();
        return outcome;
    }

    /** The state of one request across its attempts. */
    private final class PublishAttempts {
        private final Request request;

        /**
         * Revision of the head that the first commit with a lost answer was based on, if there was
         * one.
         */
        private OptionalLong lostCommitBaseRevision = OptionalLong.empty();

        private String lastFailureReason = "too many concurrent writers";

        PublishAttempts(Request request) {
            this.request = request;
        }

        PublishOutcome run() {
            for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
                if (attempt > 0) {
                    backOffMs.accept(BASE_BACKOFF_MS << attempt);
                }
                Optional<PublishOutcome> outcome = attempt();
                if (outcome.isPresent()) {
                    return outcome.get();
                }
            }
            return failed(lastFailureReason);
        }

        /** Makes one attempt; returns empty if it has to be retried. */
        private Optional<PublishOutcome> attempt() {
            return switch (reader.readHead()) {
                case HeadReadOutcome.Found found -> attemptWithBase(Optional.of(found.stored()));
                case HeadReadOutcome.Absent absent -> attemptWithBase(Optional.empty());
                case HeadReadOutcome.Unavailable(String reason) -> {
                    lastFailureReason = reason;
                    yield lostCommitBaseRevision.isPresent()
                            ? Optional.empty()
                            : Optional.of(failed(reason));
                }
                case HeadReadOutcome.Corrupt corrupt ->
                        Optional.of(failed("the stored configuration head is corrupt"));
            };
        }

        private Optional<PublishOutcome> attemptWithBase(Optional<StoredHead> base) {
            long revision = base.map(stored -> stored.head().revision()).orElse(0L);
            OptionalLong publishedRevision =
                    base.map(stored -> stored.head().revisionOf(request.writeId()))
                            .orElse(OptionalLong.empty());
            if (publishedRevision.isPresent()) {
                return Optional.of(new PublishOutcome.Published(publishedRevision.getAsLong()));
            }
            if (lostCommitBaseRevision.isPresent()
                    && base.isPresent()
                    && !base.get().head().listsAllWritesSince(lostCommitBaseRevision.getAsLong())) {
                return Optional.of(failed("too many writes followed to settle the lost answer"));
            }
            OptionalLong requestedBase = request.baseRevision();
            if (requestedBase.isPresent() && requestedBase.getAsLong() != revision) {
                return Optional.of(
                        new PublishOutcome.Conflict(requestedBase.getAsLong(), revision));
            }
            if (base.isEmpty()) {
                return validateAndWrite(base, Configuration.EMPTY);
            }
            return switch (reader.load(base.get().head())) {
                case LoadOutcome.Loaded loaded -> validateAndWrite(base, loaded.configuration());
                case LoadOutcome.Superseded superseded -> Optional.empty();
                case LoadOutcome.Unavailable(String reason) -> Optional.of(failed(reason));
                case LoadOutcome.Unusable unusable ->
                        Optional.of(failed("the stored configuration is unusable"));
            };
        }

        private Optional<PublishOutcome> validateAndWrite(
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
            var oversized = ConfigurationChunks.findOversized(ConfigurationChunks.split(next));
            if (!oversized.isEmpty()) {
                return Optional.of(new PublishOutcome.Invalid(oversized));
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
                    publishedListener.accept(next);
                    yield Optional.of(new PublishOutcome.Published(next.revision()));
                }
                case StoreOutcome.NotApplied<TxnResult>(String reason) ->
                        Optional.of(failed(reason));
                case StoreOutcome.Unknown<TxnResult>(String reason) -> {
                    lastFailureReason = reason;
                    if (lostCommitBaseRevision.isEmpty()) {
                        lostCommitBaseRevision = OptionalLong.of(next.revision() - 1);
                    }
                    yield Optional.empty();
                }
            };
        }

        private PublishOutcome failed(String reason) {
            return lostCommitBaseRevision.isPresent()
                    ? new PublishOutcome.Unknown(request.writeId(), reason)
                    : new PublishOutcome.Unavailable(reason);
        }
    }
}
