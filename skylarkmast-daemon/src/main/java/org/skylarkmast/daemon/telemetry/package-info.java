/**
 * Logs, metrics and traces of the daemon.
 *
 * <p>State: the metrics registry and the queue of spans to export, which is bounded and drops spans
 * rather than delay a call. Messages in: events, observations and spans; out: log lines, Prometheus
 * text and OTLP or JSON lines.
 */
package org.skylarkmast.daemon.telemetry;
