package org.skylarkmast.standins.service;

/**
 * Faults of a plain service; a field not given is none.
 *
 * @param delayMs pause before each call runs
 * @param refuse answers every call 503 before any work
 * @param hang no call runs until the fault ends; those that waited run then
 * @param loseAnswers next calls that run and whose connection then breaks
 */
public record ServiceFaults(long delayMs, boolean refuse, boolean hang, int loseAnswers) {

    /** No fault. */
    public static final ServiceFaults NONE = new ServiceFaults(0, false, false, 0);
}
