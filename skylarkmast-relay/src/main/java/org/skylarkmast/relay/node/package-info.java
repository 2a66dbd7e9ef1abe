/** The two kinds of relay node, entry node and storage node, each assembled from its components. */
package org.skylarkmast.relay.node;
