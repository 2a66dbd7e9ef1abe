package org.skylarkmast.core.scheduling;

/**
 * The model or service that a call asks for; the scheduler chooses among the runners that offer it.
 */
public sealed interface Destination {

    /** Any runner of a target that serves {@code model}. */
    record ModelDestination(String model) implements Destination {}

    /** Any runner of the plain service {@code target}. */
    record ServiceDestination(String target) implements Destination {}
}
