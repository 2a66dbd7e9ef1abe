/**
 * Fault-injection tests of the system invariants, with the daemons, targets and the platform as
 * separate processes.
 */
package org.skylarkmast.dist.proof;
