package org.skylarkmast.daemon.store;

import io.grpc.Status;

/** Result of one gRPC call. */
sealed interface CallResult<A> {

    /** The call was answered. */
    record Answered<A>(A message) implements CallResult<A> {}

    /**
     * The call failed.
     *
     * @param sent whether the request may have left this process
     * @param fromServer whether the service itself sent {@code status}; otherwise the client
     *     library generated it, for example because the connection broke
     */
    record Failed<A>(Status status, boolean sent, boolean fromServer) implements CallResult<A> {

        /** Describes the failure for logs and outcomes. */
        String reason() {
            return status.getCode() + ": " + status.getDescription();
        }

        /** Whether a write that failed in this way is certain to have had no effect. */
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
                case RESOURCE_EXHAUSTED -> !isOutOfSpace();
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

        /** etcd also reports exceeded space for the write that filled the disk and was applied. */
        private boolean isOutOfSpace() {
            return status.getDescription() != null
                    && status.getDescription().contains("space exceeded");
        }
    }
}
