/**
 * HTTP/1.1 connections to callers and runners.
 *
 * <p>HttpCore parses and frames messages. This package adds strict validation of requests and of
 * message framing, and detects a peer that disconnects during an exchange.
 */
package org.skylarkmast.relay.http;
