package org.skylarkmast.standins.service;

/**
 * Injected faults of a plain service; a missing field means no fault.
 *
 * @param delayMs delay before each call runs, in ms
 * @param refuse whether every call is answered 503 without being run
 * @param hang whether calls wait until the fault ends and run then
 * @param loseAnswers number of calls from now on that run but whose connection then breaks
 */
public record ServiceFaults(long delayMs, boolean refuse, boolean hang, int loseAnswers) {

    /** No faults. */
    public static final ServiceFaults NONE = new ServiceFaults(0, false, false, 0);
}
