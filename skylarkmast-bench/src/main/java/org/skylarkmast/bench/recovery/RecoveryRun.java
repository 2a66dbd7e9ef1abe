package org.skylarkmast.bench.recovery;

/**
 * The recovery times after one kill.
 *
 * @param nextTurnMs from the kill to the answer of the program's next turn
 * @param allOwnedMs from the kill until the remaining nodes own all partitions
 */
record RecoveryRun(int run, long nextTurnMs, long allOwnedMs) {}
