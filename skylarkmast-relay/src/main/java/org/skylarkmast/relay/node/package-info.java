/** The two programs of the relay, entry node and storage node, put together from their parts. */
package org.skylarkmast.relay.node;
