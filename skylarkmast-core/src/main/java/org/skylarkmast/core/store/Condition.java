package org.skylarkmast.core.store;

/** A condition that must hold for a transaction's writes to take effect. */
public sealed interface Condition {

    /** The key the condition is about. */
    String key();

    /** Holds while {@code key} does not exist. */
    record KeyAbsent(String key) implements Condition {}

    /** Holds while {@code key} exists. */
    record KeyPresent(String key) implements Condition {}

    /** Holds while the last write of {@code key} was made at {@code modRevision}. */
    record ModRevisionIs(String key, long modRevision) implements Condition {}
}
