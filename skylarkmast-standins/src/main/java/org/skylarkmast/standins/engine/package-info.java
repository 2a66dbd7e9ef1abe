/**
 * The model engine's stand-in: batching, prefix cache, streams and orders over HTTP.
 *
 * <p>State: the running and kept streams, the prefix cache, its event log and the loaded model.
 * Messages in: the calls of the engine protocol; out: tokens, reports and cache events.
 */
package org.skylarkmast.standins.engine;
