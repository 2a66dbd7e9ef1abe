package org.skylarkmast.core.store;

/** A condition that must hold for a transaction's writes to take effect. */
public sealed interface Condition {

    /** The key that the condition applies to. */
    String key();

    /** Holds if {@code key} does not exist. */
    record KeyAbsent(String key) implements Condition {}

    /** Holds if {@code key} exists. */
    record KeyPresent(String key) implements Condition {}

    /** Holds if the last write of {@code key} was made at {@code modRevision}. */
    record ModRevisionIs(String key, long modRevision) implements Condition {}
}
