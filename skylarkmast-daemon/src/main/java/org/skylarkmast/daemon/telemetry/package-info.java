/**
 * Logs, metrics and traces of the daemon.
 *
 * <p>State: the metrics registry and the bounded queue of spans to export; when the queue is full,
 * spans are dropped, so that no call is delayed. Messages in: events, observations and spans; out:
 * log lines, Prometheus text and OTLP or JSON lines.
 */
package org.skylarkmast.daemon.telemetry;
