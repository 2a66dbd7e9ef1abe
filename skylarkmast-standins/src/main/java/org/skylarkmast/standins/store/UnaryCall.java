package org.skylarkmast.standins.store;

import io.grpc.Status;
import io.grpc.stub.StreamObserver;
import java.util.Optional;
import java.util.function.Supplier;

/** Answers calls of one request and one answer, with the gate's faults. */
final class UnaryCall {
    private final CallGate gate;

    UnaryCall(CallGate gate) {
        this.gate = gate;
    }

    /** Answers with what {@code work} returns, unless a fault fails the call or its answer. */
    <T> void answer(CallGate.CallKind kind, StreamObserver<T> observer, Supplier<Answer<T>> work) {
        Optional<Status> refused = gate.admit(kind);
        if (refused.isPresent()) {
            observer.onError(refused.get().asRuntimeException());
            return;
        }
        if (!pause(gate.faults().delayMs())) {
            observer.onError(Status.CANCELLED.asRuntimeException());
            return;
        }
        switch (work.get()) {
            case Answer.Ok<T> ok -> {
                if (gate.loseAnswer(kind)) {
                    observer.onError(
                            Status.UNAVAILABLE.withDescription("answer lost").asRuntimeException());
                    return;
                }
                observer.onNext(ok.message());
                observer.onCompleted();
            }
            case Answer.Refused<T> refusal ->
                    observer.onError(refusal.status().asRuntimeException());
        }
    }

    private static boolean pause(long delayMs) {
        try {
            Thread.sleep(delayMs);
            return true;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    /** What a call comes to before faults. */
    sealed interface Answer<T> {

        /** It took effect; this is its answer. */
        record Ok<T>(T message) implements Answer<T> {}

        /** It had no effect. */
        record Refused<T>(Status status) implements Answer<T> {}
    }
}
