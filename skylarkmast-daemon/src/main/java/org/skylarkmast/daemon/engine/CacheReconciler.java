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
 * Finds caches that engines hold for programs that are gone and has them released.
 *
 * <p>Thread-safe; each node reviews every engine and judges only programs of its own partitions.
 */
public final class CacheReconciler {
    private static final Logger LOG = LoggerFactory.getLogger(CacheReconciler.class);
    private static final int OK = 200;

    private final HttpClient client;
    private final long timeoutMs;
    private final Function<ProgramKey, ProgramLiveness> livenessOf;
    private final BiConsumer<String, ProgramKey> release;
    private final OrphanedCacheDetector review = new OrphanedCacheDetector();

    /**
     * Creates a reconciler.
     *
     * @param timeoutMs longest silence of an engine to bear
     * @param livenessOf what this node knows of a program
     * @param release takes the runner and the program whose cache is to be released
     */
    public CacheReconciler(
            HttpClient client,
            long timeoutMs,
            Function<ProgramKey, ProgramLiveness> livenessOf,
            BiConsumer<String, ProgramKey> release) {
        this.client = client;
        this.timeoutMs = timeoutMs;
        this.livenessOf = livenessOf;
        this.release = release;
    }

    /**
     * Asks {@code runner} what it holds and has the caches of programs found gone twice released;
     * to be called every few seconds.
     */
    public void review(String runner, String address) {
        HttpOutcome outcome = client.send(ClientRequest.get(address, "/cache", timeoutMs));
        if (!(outcome instanceof HttpOutcome.Answered answered) || answered.status() != OK) {
            return;
        }
        Optional<Set<ProgramKey>> held = parse(answered.body());
        if (held.isEmpty()) {
            return;
        }
        Set<ProgramKey> gone;
        synchronized (this) {
            gone = review.findOrphaned(runner, held.get(), livenessOf);
        }
        for (ProgramKey program : gone) {
            LOG.atInfo()
                    .addKeyValue("event", "orphaned_cache_found")
                    .addKeyValue("runner", runner)
                    .addKeyValue("program", program)
                    .log();
            release.accept(runner, program);
        }
    }

    /** Forgets a runner that is no longer configured. */
    public synchronized void forget(String runner) {
        review.removeRunner(runner);
    }

    private static Optional<Set<ProgramKey>> parse(byte[] body) {
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
