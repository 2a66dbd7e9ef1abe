package org.skylarkmast.core.store;

/**
 * The outcome of one call to the key-value service.
 *
 * @param <T> what a completed call returns
 */
public sealed interface StoreOutcome<T> {

    /** The call completed; its effect, if any, is visible to all clients. */
    record Done<T>(T value) implements StoreOutcome<T> {}

    /** The call had no effect: it was refused or never reached the service. */
    record NotApplied<T>(String reason) implements StoreOutcome<T> {}

    /**
     * The answer was lost; a write may or may not have taken effect.
     *
     * <p>The caller must determine the outcome by reading back a unique value that it wrote.
     */
    record Unknown<T>(String reason) implements StoreOutcome<T> {}
}
