package org.skylarkmast.relay.limit;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/** Counts decisions on requests of workspaces and calls to granters; thread-safe. */
final class QuotaMetrics {
    private final Counter decisions;
    private final Counter calls;
    private final Counter tokens;
    private final Counter givenBack;

    QuotaMetrics(PrometheusRegistry registry) {
        decisions =
                Counter.builder()
                        .name("skylarkmast_quota_decisions_total")
                        .help("Decisions on requests of workspaces by their allowances.")
                        .labelNames("source", "outcome")
                        .register(registry);
        calls =
                Counter.builder()
                        .name("skylarkmast_quota_calls_total")
                        .help("Calls to the storage nodes that lease allowances.")
                        .labelNames("outcome")
                        .register(registry);
        tokens =
                Counter.builder()
                        .name("skylarkmast_quota_tokens_leased_total")
                        .help("Tokens of workspaces' allowances leased to this node.")
                        .register(registry);
        givenBack =
                Counter.builder()
                        .name("skylarkmast_quota_given_back_total")
                        .help("Places of admitted requests that did not run.")
                        .register(registry);
    }

    void count(QuotaDecision decision) {
        switch (decision) {
            case QuotaDecision.Admitted admitted ->
                    decisions.labelValues(admitted.source().label(), "admitted").inc();
            case QuotaDecision.Rejected rejected ->
                    decisions.labelValues(rejected.source().label(), "rejected").inc();
        }
    }

    void countCall(boolean answered) {
        calls.labelValues(answered ? "answered" : "unanswered").inc();
    }

    void countTokens(int leased) {
        tokens.inc(leased);
    }

    void countGivenBack() {
        givenBack.inc();
    }
}
