package org.skylarkmast.standins.store;

import io.grpc.Status;
import io.grpc.stub.StreamObserver;
import java.util.Optional;
import java.util.function.Supplier;

/** Answers unary gRPC calls and applies the injected faults. */
final class UnaryCallHandler {
    private final FaultInjector faultInjector;

    UnaryCallHandler(FaultInjector faultInjector) {
        this.faultInjector = faultInjector;
    }

    /**
     * Answers with the result of {@code operation}, unless a fault fails the call or drops its
     * answer.
     */
    <T> void answer(
            FaultInjector.CallKind kind,
            StreamObserver<T> observer,
            Supplier<Answer<T>> operation) {
        Optional<Status> failure = faultInjector.admit(kind);
        if (failure.isPresent()) {
            observer.onError(failure.get().asRuntimeException());
            return;
        }
        if (!delay(faultInjector.faults().delayMs())) {
            observer.onError(Status.CANCELLED.asRuntimeException());
            return;
        }
        switch (operation.get()) {
            case Answer.Ok<T> ok -> {
                if (faultInjector.consumeAnswerLoss(kind)) {
                    observer.onError(
                            Status.UNAVAILABLE.withDescription("answer lost").asRuntimeException());
                    return;
                }
                observer.onNext(ok.message());
                observer.onCompleted();
            }
            case Answer.Refused<T> refused ->
                    observer.onError(refused.status().asRuntimeException());
        }
    }

    private static boolean delay(long delayMs) {
        try {
            Thread.sleep(delayMs);
            return true;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    /** The result of a call before faults are applied to it. */
    sealed interface Answer<T> {

        /** The call took effect and has this answer. */
        record Ok<T>(T message) implements Answer<T> {}

        /** The call had no effect. */
        record Refused<T>(Status status) implements Answer<T> {}
    }
}
