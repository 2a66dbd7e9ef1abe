/** The scheduler's decisions as pure state machines, without threads, clocks, sockets or chance. */
package org.skylarkmast.core;
