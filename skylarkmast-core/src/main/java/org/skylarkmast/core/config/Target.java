package org.skylarkmast.core.config;

import java.util.List;

/**
 * A back end: a group of interchangeable runners.
 *
 * @param models names of the {@link Model}s that the target serves; empty for a plain service
 * @param runners processes of the target
 * @param operations operations that a plain service offers; empty for a model engine
 * @param checksEpoch whether the target rejects load orders and calls whose epoch is lower than the
 *     highest it has received
 * @param supportsLookup whether the target can be asked, by idempotency key, if a call was executed
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

    /** The kind of back end. */
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
     * @param failureDomain failure domain that it runs in
     * @param maxConcurrentCalls maximum number of concurrent calls, above 0
     */
    public record Runner(
            String name, String address, String failureDomain, int maxConcurrentCalls) {}

    /**
     * An operation of a plain service.
     *
     * @param method HTTP method
     * @param path path relative to the root of the service, such as {@code /orders}
     * @param repeatable whether the operation is idempotent, so that a call may be sent again
     */
    public record Operation(String method, String path, boolean repeatable) {}
}
