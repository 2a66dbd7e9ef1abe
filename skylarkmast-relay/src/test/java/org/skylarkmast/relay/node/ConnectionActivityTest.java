package org.skylarkmast.relay.node;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CyclicBarrier;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.junit.jupiter.api.Test;

class ConnectionActivityTest {
    private static final int ROUNDS = 2000;

    private final ConnectionActivity activity = new ConnectionActivity();

    @Test
    void closesOnlyBetweenRequests() {
        assertThat(activity.beginRequest()).isTrue();
        assertThat(activity.closeIfIdle()).isFalse();
        activity.endRequest();
        assertThat(activity.closeIfIdle()).isTrue();
    }

    @Test
    void beginsNoRequestOnceClosed() {
        assertThat(activity.closeIfIdle()).isTrue();
        assertThat(activity.beginRequest()).isFalse();
        activity.endRequest();
        assertThat(activity.beginRequest()).isFalse();
        assertThat(activity.closeIfIdle()).isTrue();
    }

    @Test
    void eitherBeginsOrCloses() throws Exception {
        try (ExecutorService threads = Executors.newFixedThreadPool(2)) {
            CyclicBarrier barrier = new CyclicBarrier(2);
            for (int i = 0; i < ROUNDS; i++) {
                ConnectionActivity contended = new ConnectionActivity();
                List<Callable<Boolean>> contenders =
                        List.of(contended::beginRequest, contended::closeIfIdle);
                List<Future<Boolean>> results =
                        contenders.stream()
                                .map(
                                        contender ->
                                                threads.submit(
                                                        () -> {
                                                            barrier.await();
                                                            return contender.call();
                                                        }))
                                .toList();
                assertThat(results.get(0).get()).isNotEqualTo(results.get(1).get());
            }
        }
    }
}
