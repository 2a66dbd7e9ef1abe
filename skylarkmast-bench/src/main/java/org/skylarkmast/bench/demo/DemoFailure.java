package org.skylarkmast.bench.demo;

/** Ends the demonstration with the reason why it is not right. */
final class DemoFailure extends RuntimeException {
    DemoFailure(String reason) {
        super(reason);
    }
}
