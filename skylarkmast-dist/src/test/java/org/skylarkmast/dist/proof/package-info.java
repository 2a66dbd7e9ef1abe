/** Proofs of the invariants with the daemons, targets and the platform as separate processes. */
package org.skylarkmast.dist.proof;
