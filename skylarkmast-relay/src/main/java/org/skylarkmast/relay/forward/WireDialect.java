package org.skylarkmast.relay.forward;

import java.util.Optional;
import org.skylarkmast.relay.http.HeaderFields;
import org.skylarkmast.relay.http.MalformedMessageException;
import org.skylarkmast.relay.limit.StatedRateLimit;
import org.skylarkmast.relay.runner.RunnerLoad;

/** Translates the header fields that callers and runners use; implemented by adapters. */
public interface WireDialect {

    /**
     * Parses the metadata of a caller's request.
     *
     * @throws MalformedMessageException if a field is missing or has an invalid value
     */
    CallMetadata parseCallMetadata(HeaderFields callerFields) throws MalformedMessageException;

    /**
     * Returns the fields of a request to a runner.
     *
     * @param callerFields end-to-end fields of the caller; fields that only the system may set are
     *     dropped
     */
    HeaderFields toRunnerFields(HeaderFields callerFields, SendOptions options);

    /**
     * Returns the fields of a request that another entry node serves.
     *
     * @param callerFields end-to-end fields of the caller
     * @param options only the deadline applies; the other node sets the rest itself
     */
    HeaderFields toPeerFields(HeaderFields callerFields, SendOptions options);

    /** Returns the key of a request, if it carries exactly one that is well formed. */
    Optional<String> callerKey(HeaderFields callerFields);

    /**
     * Returns {@code callerFields} without a key, and with no other name of a workspace than {@code
     * workspace}.
     */
    HeaderFields toWorkspaceFields(HeaderFields callerFields, Optional<String> workspace);

    /** Returns the request id that an answer carries, or null. */
    String answeredRequestId(HeaderFields runnerFields);

    /** Whether the runner reports that it did not run the request. */
    boolean reportsNotRun(int status, HeaderFields runnerFields);

    /** Whether the runner that answers says that it is leaving. */
    boolean reportsLeaving(HeaderFields runnerFields);

    /** Returns the id of the runner that answers, if the answer names it. */
    Optional<String> answeringRunnerId(HeaderFields runnerFields);

    /** Returns the load that a runner reports with an answer. */
    Optional<RunnerLoad> reportedLoad(HeaderFields runnerFields);

    /** Returns what an answer says about the rate at which its runner accepts requests. */
    StatedRateLimit statedRateLimit(HeaderFields runnerFields);

    /** Returns the fields of an answer to {@code requestId} that the entry node generates. */
    HeaderFields localAnswerFields(String requestId);

    /**
     * Values that the system adds to a request.
     *
     * @param deadlineMs time left for the runner
     * @param runnerId the only runner that may run the request
     * @param priority priority among a runner's requests, 0 is the highest
     * @param afterEventId event after which to resume a stream, empty to start it
     */
    record SendOptions(long deadlineMs, String runnerId, int priority, String afterEventId) {}
}
