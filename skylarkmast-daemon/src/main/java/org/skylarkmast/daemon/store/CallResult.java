package org.skylarkmast.daemon.store;

import io.grpc.Status;

/** What became of one gRPC call. */
sealed interface CallResult<A> {

    /** The answer arrived. */
    record Answered<A>(A message) implements CallResult<A> {}

    /**
     * It failed.
     *
     * @param sent whether the request may have left this process
     * @param fromServer whether the service itself answered with {@code status}; otherwise this
     *     side made it up, say since the connection broke
     */
    record Failed<A>(Status status, boolean sent, boolean fromServer) implements CallResult<A> {

        /** What the failure is called in logs and outcomes. */
        String reason() {
            return status.getCode() + ": " + status.getDescription();
        }

        /** Whether a write that failed so provably had no effect. */
        boolean provesNoEffect() {
            if (!sent) {
                return true;
            }
            if (!fromServer) {
                return false;
            }
            return switch (status.getCode()) {
                case INVALID_ARGUMENT,
                        FAILED_PRECONDITION,
                        NOT_FOUND,
                        UNAUTHENTICATED,
                        PERMISSION_DENIED,
                        UNIMPLEMENTED ->
                        true;
                case RESOURCE_EXHAUSTED -> !outOfSpace();
                case OK,
                        CANCELLED,
                        UNKNOWN,
                        DEADLINE_EXCEEDED,
                        ALREADY_EXISTS,
                        ABORTED,
                        OUT_OF_RANGE,
                        INTERNAL,
                        UNAVAILABLE,
                        DATA_LOSS ->
                        false;
            };
        }

        /** etcd reports a full disk also after it applied the write that filled it. */
        private boolean outOfSpace() {
            return status.getDescription() != null
                    && status.getDescription().contains("space exceeded");
        }
    }
}
