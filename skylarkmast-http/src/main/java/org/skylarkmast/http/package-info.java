/**
 * A small blocking HTTP server and client based on Apache HttpCore, with streamed bodies and typed
 * outcomes.
 */
package org.skylarkmast.http;
