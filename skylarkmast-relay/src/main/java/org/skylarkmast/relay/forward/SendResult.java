package org.skylarkmast.relay.forward;

/** What became of one send of a request to a runner. */
sealed interface SendResult {

    /** The runner's answer was passed on whole. */
    record Delivered(int status) implements SendResult {}

    /**
     * The runner did not run the request and never will.
     *
     * @param full whether it had no room
     */
    record NotRun(boolean full, String reason) implements SendResult {}

    /** The request may have run; the caller has received nothing of an answer. */
    record MayHaveRun(String reason) implements SendResult {}

    /** The answer broke off after part of it was passed on. */
    record BrokenOff(String reason) implements SendResult {}

    /** The caller left or does not read. */
    record CallerLost(String reason) implements SendResult {}
}
