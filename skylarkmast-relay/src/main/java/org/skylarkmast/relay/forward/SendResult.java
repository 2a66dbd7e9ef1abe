package org.skylarkmast.relay.forward;

/** The result of sending a request to a runner once. */
sealed interface SendResult {

    /** The runner's answer was written to the caller completely. */
    record Delivered(int status) implements SendResult {}

    /**
     * The runner did not run the request and will not run it later.
     *
     * @param overloaded whether it rejected the request because it was overloaded
     */
    record NotRun(boolean overloaded, String reason) implements SendResult {}

    /** The request may have run; nothing of an answer was written to the caller. */
    record MayHaveRun(String reason) implements SendResult {}

    /** The answer was interrupted after part of it was written to the caller. */
    record BrokenOff(String reason) implements SendResult {}

    /** The caller disconnected or stopped reading. */
    record CallerLost(String reason) implements SendResult {}
}
