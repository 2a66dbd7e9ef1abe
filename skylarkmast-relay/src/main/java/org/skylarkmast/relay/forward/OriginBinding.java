package org.skylarkmast.relay.forward;

import java.util.function.BooleanSupplier;
import org.skylarkmast.relay.ledger.StreamOrigin;
import org.skylarkmast.relay.runner.Runner;

/**
 * Restricts the runners of one request to those that may produce its stream: from the first event
 * on, only runners of the same service and software version.
 *
 * <p>An attempt that another entry node may have to resume is sent to runners of a version only
 * after that version was recorded. Confined to one thread.
 */
final class OriginBinding {
    private final OriginRecorder recorder;
    private final BooleanSupplier hasEvents;
    private final boolean restricted;
    private final boolean resumed;
    private StreamOrigin origin;

    /** Records an origin of the attempt, in addition to any that was recorded before. */
    @FunctionalInterface
    interface OriginRecorder {

        /** Returns whether the origin is recorded durably. */
        boolean record(StreamOrigin origin) throws InterruptedException;
    }

    private OriginBinding(
            OriginRecorder recorder,
            BooleanSupplier hasEvents,
            boolean restricted,
            boolean resumed,
            StreamOrigin origin) {
        this.recorder = recorder;
        this.hasEvents = hasEvents;
        this.restricted = restricted;
        this.resumed = resumed;
        this.origin = origin;
    }

    /** Returns the binding of a request that cannot be resumed: any runner may answer it. */
    static OriginBinding unrestricted() {
        return new OriginBinding(_ -> true, () -> false, false, false, null);
    }

    /**
     * Returns the binding of a new stream.
     *
     * @param recorded origin that has been recorded, or null
     * @param hasEvents whether the caller has received an event of the stream
     */
    static OriginBinding ofNewStream(
            StreamOrigin recorded, OriginRecorder recorder, BooleanSupplier hasEvents) {
        return new OriginBinding(recorder, hasEvents, true, false, recorded);
    }

    /** Returns the binding of a stream that began at {@code origin} in an earlier attempt. */
    static OriginBinding ofResumedStream(StreamOrigin origin) {
        return new OriginBinding(_ -> false, () -> true, true, true, origin);
    }

    /** Returns the origin of a stream that {@code runner} begins. */
    static StreamOrigin originOf(Runner runner) {
        return new StreamOrigin(runner.service(), runner.softwareVersion());
    }

    /** Whether the request may be sent to {@code runner} as things are. */
    boolean allows(Runner runner) {
        return !restricted || originOf(runner).equals(origin);
    }

    /** Whether events of the stream exist, so that no other origin is possible any more. */
    boolean isFixed() {
        return resumed || (restricted && hasEvents.getAsBoolean());
    }

    /**
     * Changes the origin to that of {@code runner}, unless it is fixed.
     *
     * @return whether the request may be sent to {@code runner}
     */
    boolean rebind(Runner runner) throws InterruptedException {
        if (allows(runner)) {
            return true;
        }
        if (isFixed()) {
            return false;
        }
        boolean recorded = recorder.record(originOf(runner));
        // With nothing recorded before, a missing record cannot be mistaken for another origin.
        if (!recorded && origin != null) {
            return false;
        }
        origin = originOf(runner);
        return true;
    }
}
