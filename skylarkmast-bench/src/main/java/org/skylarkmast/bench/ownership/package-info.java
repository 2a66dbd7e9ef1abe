/**
 * Measures partition ownership and the journal on the stand-in for the key-value service.
 *
 * <p>State: up to seven nodes in this process and one stand-in, reached over gRPC on 127.0.0.1.
 */
package org.skylarkmast.bench.ownership;
