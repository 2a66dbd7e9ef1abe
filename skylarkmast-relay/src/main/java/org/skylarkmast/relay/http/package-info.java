/**
 * HTTP/1.1 connections of the relay: strict towards callers, able to notice a peer that closes
 * while an exchange is under way.
 *
 * <p>Parsing and framing are HttpCore's; this package adds the checks a relay owes both sides.
 */
package org.skylarkmast.relay.http;
