package org.skylarkmast.relay.node;

import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.OptionalLong;
import org.skylarkmast.core.store.KeyValueStore;
import org.skylarkmast.relay.forward.KeyAdmission;
import org.skylarkmast.relay.forward.WireDialect;
import org.skylarkmast.relay.mirror.CurrencyProof;
import org.skylarkmast.relay.mirror.CurrencyReader;
import org.skylarkmast.relay.mirror.StoreMirror;
import org.skylarkmast.relay.route.RoutingState;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Tells whether the configuration in force is recent enough for callers' keys, by the bound on the
 * use of withdrawn ones; thread-safe.
 */
final class KeyCurrency {
    private static final Logger LOG = LoggerFactory.getLogger(KeyCurrency.class);

    /** Part of the bound that is left for a request in flight and one pause of the process. */
    private static final long MARGIN_MS = 500;

    /** Age from which a storage node renews its proof by a read of the service. */
    private static final long STORAGE_NODE_READ_AGE_MS = 1000;

    /**
     * Part of the usable time after which an entry node reads the service itself. With storage
     * nodes that confirm the configuration, a proof is about 2.3 s old at most, by the pauses
     * between their reads and between polls.
     */
    private static final double ENTRY_NODE_READ_FRACTION = 0.6;

    private static final double MS_PER_SECOND = 1000;

    private final long boundMs;
    private final RoutingState routing;
    private final CurrencyProof proof;
    private boolean wasOverdue;

    /**
     * @param routing the configuration in force
     * @param proof what this node knows of the newest configuration
     */
    KeyCurrency(WorkspaceSettings settings, RoutingState routing, CurrencyProof proof) {
        this.boundMs = settings.keyRevocationMs();
        this.routing = routing;
        this.proof = proof;
    }

    /** Returns one that measures ages on the clocks of the machine. */
    static KeyCurrency onSystemClocks(WorkspaceSettings settings, RoutingState routing) {
        return new KeyCurrency(
                settings, routing, new CurrencyProof(System::nanoTime, System::currentTimeMillis));
    }

    CurrencyProof proof() {
        return proof;
    }

    /** Whether requests depend on the proof at present. */
    boolean isNeeded() {
        return boundMs > 0 && routing.mayHaveWorkspaces();
    }

    /** Creates the decisions on callers' keys by this proof. */
    KeyAdmission createAdmission(WireDialect dialect, PrometheusRegistry registry) {
        return new KeyAdmission(dialect, routing::current, this::overdueMs, registry);
    }

    private long usableMs() {
        return Math.max(0, boundMs - MARGIN_MS);
    }

    /**
     * Returns the time in ms for which the proof has been too old, 0 if there is none that counts;
     * empty if it is not too old or there is no bound.
     */
    OptionalLong overdueMs() {
        if (boundMs <= 0) {
            return OptionalLong.empty();
        }
        OptionalLong ageMs = proof.ageMs(routing.appliedRevision());
        if (ageMs.isEmpty()) {
            return OptionalLong.of(0);
        }
        return ageMs.getAsLong() < usableMs()
                ? OptionalLong.empty()
                : OptionalLong.of(ageMs.getAsLong() - usableMs());
    }

    /**
     * Starts the reads of a storage node, which confirms the configuration to entry nodes.
     *
     * @return ends them
     */
    Runnable startOnStorageNode(KeyValueStore store, String key, StoreMirror mirror) {
        return start(store, key, mirror, Math.min(STORAGE_NODE_READ_AGE_MS, usableMs() / 4));
    }

    /**
     * Starts the reads of an entry node, which reads only if no storage node has a proof.
     *
     * @return ends them
     */
    Runnable startOnEntryNode(KeyValueStore store, String key, StoreMirror mirror) {
        return start(store, key, mirror, (long) (usableMs() * ENTRY_NODE_READ_FRACTION));
    }

    private Runnable start(KeyValueStore store, String key, StoreMirror mirror, long maxAgeMs) {
        if (boundMs <= 0) {
            return () -> {};
        }
        CurrencyReader reader =
                new CurrencyReader(
                        store, key, mirror, proof, this::isNeeded, maxAgeMs, this::logChange);
        return reader::close;
    }

    /** Logs when the proof has become too old and when it no longer is. */
    synchronized void logChange() {
        boolean isOverdue = isNeeded() && overdueMs().isPresent();
        if (isOverdue == wasOverdue) {
            return;
        }
        wasOverdue = isOverdue;
        long appliedRevision = routing.appliedRevision();
        LOG.atWarn()
                .addKeyValue("event", isOverdue ? "key_proof_lost" : "key_proof_regained")
                .addKeyValue("ageMs", proof.ageMs(appliedRevision).orElse(-1))
                .addKeyValue("source", proof.source(appliedRevision))
                .addKeyValue("appliedRevision", appliedRevision)
                .addKeyValue("boundMs", boundMs)
                .log();
    }

    /** Registers the age of the proof, if there is a bound. */
    void register(PrometheusRegistry registry) {
        if (boundMs <= 0) {
            return;
        }
        GaugeWithCallback.builder()
                .name("skylarkmast_key_proof_age_seconds")
                .help("Time since the configuration in force was the newest for certain.")
                .callback(callback -> callback.call(ageSeconds()))
                .register(registry);
    }

    private double ageSeconds() {
        OptionalLong ageMs = proof.ageMs(routing.appliedRevision());
        return ageMs.isPresent() ? ageMs.getAsLong() / MS_PER_SECOND : Double.POSITIVE_INFINITY;
    }
}
