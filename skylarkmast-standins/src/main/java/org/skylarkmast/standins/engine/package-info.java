/**
 * Stand-in for a model engine: continuous batching, prefix cache, resumable streams and orders.
 *
 * <p>It keeps the running and the recently ended streams, the prefix cache with its event log, and
 * the loaded model. It serves the engine protocol over HTTP: calls in; tokens, load reports and
 * cache events out.
 */
package org.skylarkmast.standins.engine;
