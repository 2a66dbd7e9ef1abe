package org.skylarkmast.bench.demo;

/** Thrown if a request or a check of the demonstration fails. */
final class DemoFailure extends RuntimeException {
    DemoFailure(String reason) {
        super(reason);
    }
}
