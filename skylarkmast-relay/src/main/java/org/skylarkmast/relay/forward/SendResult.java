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

    /**
     * A stream of which part was written was to be continued, but the runner's answer was not its
     * next part. Nothing of that answer was written to the caller.
     *
     * @param status status of that answer
     */
    record NotContinued(int status) implements SendResult {

        String reason() {
            return "runner answered " + status + " to the continuation of a stream";
        }
    }

    /** The caller disconnected or stopped reading. */
    record CallerLost(String reason) implements SendResult {}
}
