/**
 * A small blocking HTTP server and client over HttpCore, with streamed bodies and typed outcomes.
 */
package org.skylarkmast.http;
