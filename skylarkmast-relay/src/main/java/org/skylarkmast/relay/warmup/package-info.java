/** Loads and compiles the code that serves requests before the first caller arrives. */
package org.skylarkmast.relay.warmup;
