package org.skylarkmast.relay.route;

import java.util.List;

/**
 * A route from callers to services.
 *
 * @param pathPrefix begins and ends with a slash
 * @param timeoutMs longest time an answer may take
 * @param objectiveMs time within which an answer, or a stream's first event, is on time
 * @param priority rank, 0 goes first
 * @param services services that share the route by weight, at least one
 * @param maxAttempts most runners one attempt of a caller may be sent to, at least 1
 * @param keepsTurns whether callers send only new input and the history is kept for them
 * @param retentionMs how long turns and spent tokens are kept
 * @param resumable whether a broken stream may go on after its last event
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
        boolean keepsTurns,
        long retentionMs,
        boolean resumable) {

    /** A service with its share of a route's requests. */
    public record WeightedService(String service, double weight) {}

    public Route {
        services = List.copyOf(services);
    }

    /** Whether a request may be sent again after it may have run. */
    public boolean repeatable() {
        return kind == RouteKind.IDEMPOTENT || (kind == RouteKind.STREAM && resumable);
    }

    /**
     * The service for a request.
     *
     * @param sample uniform in [0, 1)
     */
    public String service(double sample) {
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
