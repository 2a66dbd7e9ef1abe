/**
 * Measures ownership and the journal against the stand-in of the key-value service.
 *
 * <p>State: a few nodes in this process and one stand-in, reached over gRPC on 127.0.0.1.
 */
package org.skylarkmast.bench.ownership;
