package org.skylarkmast.daemon.store;

import static com.google.common.truth.Truth.assertThat;

import io.grpc.Status;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class CallResultTest {

    @ParameterizedTest(name = "{0} {1}, sent {2}, from server {3}")
    @CsvSource({
        "UNAVAILABLE, connection refused, false, false, true",
        "DEADLINE_EXCEEDED, still connecting, false, false, true",
        "UNAVAILABLE, connection reset, true, false, false",
        "UNAVAILABLE, etcdserver: no leader, true, true, false",
        "DEADLINE_EXCEEDED, deadline, true, false, false",
        "CANCELLED, interrupted, true, false, false",
        "RESOURCE_EXHAUSTED, etcdserver: too many requests, true, true, true",
        "RESOURCE_EXHAUSTED, etcdserver: mvcc: database space exceeded, true, true, false",
        "RESOURCE_EXHAUSTED, Bandwidth exhausted, true, false, false",
        "INVALID_ARGUMENT, etcdserver: duplicate key, true, true, true",
        "FAILED_PRECONDITION, etcdserver: lease already exists, true, true, true",
        "NOT_FOUND, etcdserver: requested lease not found, true, true, true",
        "UNAUTHENTICATED, etcdserver: invalid auth token, true, true, true",
        "UNKNOWN, etcdserver: unknown, true, true, false"
    })
    void reportsAWriteAsWithoutEffectOnlyIfThatIsCertain(
            Status.Code code,
            String description,
            boolean sent,
            boolean fromServer,
            boolean expected) {
        Status status = code.toStatus().withDescription(description);
        assertThat(new CallResult.Failed<>(status, sent, fromServer).provesNoEffect())
                .isEqualTo(expected);
    }
}
