package org.skylarkmast.core.config;

import java.util.List;

/**
 * A back end: a group of interchangeable runners.
 *
 * @param models names of the {@link Model}s it serves; empty for a plain service
 * @param runners its processes
 * @param operations what a plain service offers; empty for a model engine
 * @param checksEpoch whether it refuses orders and calls that carry an older epoch than one seen
 * @param supportsLookup whether it can tell by idempotency key if a call ran
 */
public record Target(
        String name,
        Kind kind,
        List<String> models,
        List<Runner> runners,
        List<Operation> operations,
        boolean checksEpoch,
        boolean supportsLookup)
        implements ConfigurationObject {

    public Target {
        models = List.copyOf(models);
        runners = List.copyOf(runners);
        operations = List.copyOf(operations);
    }

    /** What stands behind a target. */
    public enum Kind {
        /** A model engine with continuous batching and a prefix cache. */
        MODEL_ENGINE,
        /** A plain HTTP service. */
        PLAIN_SERVICE
    }

    /**
     * One process of a target.
     *
     * @param name unique over all targets
     * @param address IP address and port, {@code host:port}
     * @param failureDomain where it runs
     * @param maxConcurrentCalls calls it takes at once, above 0
     */
    public record Runner(
            String name, String address, String failureDomain, int maxConcurrentCalls) {}

    /**
     * An operation of a plain service.
     *
     * @param method HTTP method
     * @param path path below the service's root, such as {@code /orders}
     * @param repeatable whether sending it twice does no harm
     */
    public record Operation(String method, String path, boolean repeatable) {}
}
