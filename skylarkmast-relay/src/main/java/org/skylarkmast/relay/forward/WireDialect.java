package org.skylarkmast.relay.forward;

import java.util.Optional;
import org.skylarkmast.relay.http.HeaderFields;
import org.skylarkmast.relay.http.MalformedMessageException;
import org.skylarkmast.relay.runner.RunnerLoad;

/** The header fields that callers and runners use; implemented by adapters. */
public interface WireDialect {

    /**
     * Reads what a caller says.
     *
     * @throws MalformedMessageException if a field is not what it must be
     */
    CallMetadata read(HeaderFields callerFields) throws MalformedMessageException;

    /**
     * Fields of a request to a runner.
     *
     * @param callerFields end-to-end fields of the caller; those only the system may set are
     *     dropped
     */
    HeaderFields towardsRunner(HeaderFields callerFields, SendOptions options);

    /** The request id an answer names, or null. */
    String answeredRequestId(HeaderFields runnerFields);

    /** Whether the runner says that it did not run the request. */
    boolean notRun(int status, HeaderFields runnerFields);

    /** The load a runner tells with an answer. */
    Optional<RunnerLoad> load(HeaderFields runnerFields);

    /** Fields of an answer of our own to {@code requestId}. */
    HeaderFields ownAnswer(String requestId);

    /**
     * What the system adds to a request.
     *
     * @param deadlineMs time left for the runner
     * @param runnerId runner that alone may run it
     * @param priority rank among a runner's requests, 0 first
     * @param afterEventId event after which a stream goes on, empty to start it
     */
    record SendOptions(long deadlineMs, String runnerId, int priority, String afterEventId) {}
}
