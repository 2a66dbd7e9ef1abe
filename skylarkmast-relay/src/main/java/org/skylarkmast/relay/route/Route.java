package org.skylarkmast.relay.route;

import java.util.List;

/**
 * A route from callers to services.
 *
 * @param host host name of the requests that it matches
 * @param pathPrefix prefix of the paths that it matches; begins and ends with a slash
 * @param timeoutMs maximum time for an answer
 * @param objectiveMs latency objective for an answer, or for the first event of a stream
 * @param priority priority at the runners, 0 is the highest
 * @param services services that share the route's requests by weight, at least one
 * @param maxAttempts maximum number of runners to which one attempt of a caller may be sent, at
 *     least 1
 * @param storesTurns whether turns are stored, so that callers send only the new input
 * @param retentionMs how long turns and token usage are stored
 * @param resumable whether an interrupted stream may be resumed after its last event
 * @param isPublic whether requests need no key of a workspace
 * @param sticky whether a runner serves requests about an object faster if it has served others
 *     about it recently
 */
public record Route(
        String name,
        String host,
        String pathPrefix,
        RouteKind kind,
        long timeoutMs,
        long objectiveMs,
        int priority,
        List<WeightedService> services,
        int maxAttempts,
        boolean storesTurns,
        long retentionMs,
        boolean resumable,
        boolean isPublic,
        boolean sticky) {

    /** Creates a route that is neither public nor sticky. */
    public Route(
            String name,
            String host,
            String pathPrefix,
            RouteKind kind,
            long timeoutMs,
            long objectiveMs,
            int priority,
            List<WeightedService> services,
            int maxAttempts,
            boolean storesTurns,
            long retentionMs,
            boolean resumable) {
        this(
                name,
                host,
                pathPrefix,
                kind,
                timeoutMs,
                objectiveMs,
                priority,
                services,
                maxAttempts,
                storesTurns,
                retentionMs,
                resumable,
                false,
                false);
    }

    /** A service with its weight, relative to the other services of the route. */
    public record WeightedService(String service, double weight) {}

    public Route {
        services = List.copyOf(services);
    }

    /** Returns this route with another limit of runners for one attempt. */
    public Route withMaxAttempts(int limit) {
        return new Route(
                name,
                host,
                pathPrefix,
                kind,
                timeoutMs,
                objectiveMs,
                priority,
                services,
                limit,
                storesTurns,
                retentionMs,
                resumable,
                isPublic,
                sticky);
    }

    /** Whether a request that may have run may be sent again. */
    public boolean retryable() {
        return kind == RouteKind.IDEMPOTENT || (kind == RouteKind.STREAM && resumable);
    }

    /** Whether the route names no service, since the configuration's could not be read. */
    boolean isUnserved() {
        return services.stream().allMatch(weighted -> weighted.service().isEmpty());
    }

    /** Whether requests of this route may be sent to {@code service}. */
    public boolean sendsTo(String service) {
        return services.stream().anyMatch(weighted -> weighted.service().equals(service));
    }

    /**
     * Selects the service for a request at random, by weight.
     *
     * @param sample uniform in [0, 1)
     */
    public String selectService(double sample) {
        double total = 0;
        for (WeightedService service : services) {
            total += service.weight();
        }
        double left = sample * total;
        for (WeightedService service : services) {
            left -= service.weight();
            if (left < 0) {
                return service.service();
            }
        }
        return services.getLast().service();
    }
}
