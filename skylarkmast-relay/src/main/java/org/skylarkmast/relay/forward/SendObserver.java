package org.skylarkmast.relay.forward;

import java.io.IOException;
import org.skylarkmast.relay.http.RunnerAnswer;

/** Observes one send of a request; called by the thread that sends it. */
interface SendObserver {

    /** Observes nothing. */
    SendObserver NONE = new SendObserver() {};

    /**
     * A connection is available.
     *
     * @param reused whether it carried an earlier exchange
     */
    default void connected(boolean reused) {}

    /** No connection could be opened; none of the other methods is called. */
    default void connectFailed(IOException cause, long tookNs) {}

    /** The request is about to be written. */
    default void sending() {}

    /** The head of any answer was read, also of a late one to an earlier request. */
    default void headRead(RunnerAnswer answer) {}

    /** The head of an answer to the request was read. */
    default void answered(RunnerAnswer answer) {}

    /**
     * The answer says that the request was not run.
     *
     * @param overloaded whether for lack of capacity
     */
    default void rejected(RunnerAnswer answer, boolean overloaded) {}

    /**
     * A successful answer was passed on completely.
     *
     * @param units work done: tokens of a stream, 1 otherwise
     */
    default void succeeded(long tookNs, double units) {}

    /**
     * A stream that began with this send was passed on completely.
     *
     * @param firstEventNs time from the send to the first event
     * @param generationNs time from the first event to the end
     * @param generatedUnits work done after the first event
     */
    default void streamed(long firstEventNs, long generationNs, double generatedUnits) {}

    /** The answer is an error, or the exchange broke. */
    default void failed() {}

    /** The send has ended; called once after {@link #sending}. */
    default void ended() {}
}
