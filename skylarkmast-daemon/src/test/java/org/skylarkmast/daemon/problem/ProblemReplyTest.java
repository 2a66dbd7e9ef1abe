package org.skylarkmast.daemon.problem;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.skylarkmast.core.program.Execution;
import org.skylarkmast.http.HttpReply;

class ProblemReplyTest {

    @ParameterizedTest
    @CsvSource({"0, 0", "1, 1", "1000, 1", "1001, 2"})
    void roundsRetryAfterUpToWholeSeconds(long retryAfterMs, String seconds) {
        HttpReply.Full reply =
                new ProblemReply(503, "overloaded", "Overloaded", "queue is full")
                        .withExecution(Execution.NOT_RUN)
                        .withRetryAfterMs(retryAfterMs)
                        .toReply();
        assertThat(reply.headers()).containsExactly("Retry-After", seconds);
        assertThat(new String(reply.body(), StandardCharsets.UTF_8))
                .isEqualTo(
                        "{\"type\":\"urn:skylarkmast:problem:overloaded\",\"title\":\"Overloaded\","
                                + "\"status\":503,\"detail\":\"queue is full\",\"execution\":"
                                + "\"not-run\",\"retryAfterMs\":"
                                + retryAfterMs
                                + "}");
    }
}
