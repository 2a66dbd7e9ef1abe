package org.skylarkmast.relay.runner;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Mean tokens of the requests that this node sent, by service; thread-safe. */
final class MeanTokens {

    /** Weight of the newest request: about the last 50 count. */
    private static final double WEIGHT = 0.02;

    private final Map<String, Double> meanByService = new ConcurrentHashMap<>();

    /** Records a request; one with 0 tokens is not counted, as its tokens are unknown. */
    void record(String service, long tokens) {
        if (tokens > 0) {
            meanByService.merge(
                    service, (double) tokens, (mean, next) -> mean + (next - mean) * WEIGHT);
        }
    }

    /** Returns the mean, 0 if nothing is known. */
    double of(String service) {
        return meanByService.getOrDefault(service, 0.0);
    }
}
