package org.skylarkmast.daemon.engine;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Function;
import org.skylarkmast.core.engine.CacheKey;
import org.skylarkmast.core.engine.OrphanedCacheDetector;
import org.skylarkmast.core.engine.ProgramLiveness;
import org.skylarkmast.core.json.JsonUtil;
import org.skylarkmast.core.key.ProgramKey;
import org.skylarkmast.http.ClientRequest;
import org.skylarkmast.http.HttpClient;
import org.skylarkmast.http.HttpOutcome;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import tools.jackson.core.JacksonException;

/**
 * Finds caches that engines hold for programs that no longer exist, and has them released.
 *
 * <p>Thread-safe. Each node checks every engine, but decides only on programs of its own
 * partitions.
 */
public final class CacheReconciler {
    private static final Logger LOG = LoggerFactory.getLogger(CacheReconciler.class);
    private static final int OK = 200;

    private final HttpClient client;
    private final long timeoutMs;
    private final Function<ProgramKey, ProgramLiveness> livenessOf;
    private final BiConsumer<String, ProgramKey> releaseHandler;
    private final OrphanedCacheDetector detector = new OrphanedCacheDetector();

    /**
     * Creates a reconciler.
     *
     * @param timeoutMs longest time without data from an engine
     * @param livenessOf whether a program exists, as far as this node knows
     * @param releaseHandler receives the runner and the program whose cache is to be released
     */
    public CacheReconciler(
            HttpClient client,
            long timeoutMs,
            Function<ProgramKey, ProgramLiveness> livenessOf,
            BiConsumer<String, ProgramKey> releaseHandler) {
        this.client = client;
        this.timeoutMs = timeoutMs;
        this.livenessOf = livenessOf;
        this.releaseHandler = releaseHandler;
    }

    /**
     * Reads the caches that {@code runner} holds, and has those released whose programs were
     * missing in two consecutive checks; to be called every few seconds.
     */
    public void reconcile(String runner, String address) {
        HttpOutcome outcome = client.send(ClientRequest.get(address, "/cache", timeoutMs));
        if (!(outcome instanceof HttpOutcome.Answered answered) || answered.status() != OK) {
            return;
        }
        Optional<Set<ProgramKey>> held = parsePrograms(answered.body());
        if (held.isEmpty()) {
            return;
        }
        Set<ProgramKey> orphaned;
        synchronized (this) {
            orphaned = detector.findOrphaned(runner, held.get(), livenessOf);
        }
        for (ProgramKey program : orphaned) {
            LOG.atInfo()
                    .addKeyValue("event", "orphaned_cache_found")
                    .addKeyValue("runner", runner)
                    .addKeyValue("program", program)
                    .log();
            releaseHandler.accept(runner, program);
        }
    }

    /** Discards the state of a runner that is no longer configured. */
    public synchronized void removeRunner(String runner) {
        detector.removeRunner(runner);
    }

    private static Optional<Set<ProgramKey>> parsePrograms(byte[] body) {
        Set<ProgramKey> held = new HashSet<>();
        try {
            for (String name : JsonUtil.MAPPER.readTree(body).path("programs").propertyNames()) {
                CacheKey.parse(name).ifPresent(held::add);
            }
        } catch (JacksonException e) {
            return Optional.empty();
        }
        return Optional.of(held);
    }
}
