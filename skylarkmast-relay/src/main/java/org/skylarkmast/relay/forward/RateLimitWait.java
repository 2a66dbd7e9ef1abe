package org.skylarkmast.relay.forward;

import java.util.Collections;
import java.util.HashMap;
import java.util.Map;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import org.skylarkmast.relay.limit.SendAdmission;
import org.skylarkmast.relay.limit.SendGrant;
import org.skylarkmast.relay.runner.Runner;

/**
 * The wait of one request for runners' rate limits.
 *
 * <p>At first the request waits hardly at all, since another runner may accept it at once. If the
 * rate limits of all available runners deny it, it may wait longer, and gives up if they deny it
 * again. Confined to one thread.
 */
final class RateLimitWait {

    /**
     * Longest wait while another runner may accept the request: about what a cached prompt saves.
     */
    private static final long DETOUR_WAIT_MS = 20;

    private final SendAdmission admission;
    private final String requestId;
    private final Exchange exchange;
    private final LongSupplier maxWaitMs;
    private final Predicate<Runner> isAvailable;

    /** Runners whose rate limits denied the request, and how long it would have to wait, in ms. */
    private final Map<String, Long> deniedWaitsMs = new HashMap<>();

    private boolean waitsLonger;
    private long delayMs;

    /**
     * @param maxWaitMs longest wait once the rate limits of all available runners denied the
     *     request
     * @param isAvailable whether a runner still accepts new requests after the wait
     */
    RateLimitWait(
            SendAdmission admission,
            String requestId,
            Exchange exchange,
            LongSupplier maxWaitMs,
            Predicate<Runner> isAvailable) {
        this.admission = admission;
        this.requestId = requestId;
        this.exchange = exchange;
        this.maxWaitMs = maxWaitMs;
        this.isAvailable = isAvailable;
    }

    /**
     * Waits until the rate limit of {@code runner} admits the request.
     *
     * @return false if the request must not be sent there now
     */
    boolean await(Runner runner) throws InterruptedException {
        long longestMs = waitsLonger ? maxWaitMs.getAsLong() : DETOUR_WAIT_MS;
        return switch (admission.admit(runner, requestId, longestMs)) {
            case SendGrant.Denied denied -> {
                deniedWaitsMs.put(runner.incarnation(), denied.waitMs());
                yield false;
            }
            case SendGrant.Granted granted -> {
                if (granted.waitMs() == 0) {
                    yield true;
                }
                delayMs += granted.waitMs();
                exchange.awaitCancellation(granted.waitMs());
                yield !exchange.isCancelled() && isAvailable.test(runner);
            }
        };
    }

    /** Whether the rate limit of {@code runner} denied the request. */
    boolean isDenied(Runner runner) {
        return deniedWaitsMs.containsKey(runner.incarnation());
    }

    /** Whether the rate limit of any runner denied the request. */
    boolean isDenied() {
        return !deniedWaitsMs.isEmpty();
    }

    /**
     * Lets the request wait longer for the runners that denied it.
     *
     * @return false if it has done so already
     */
    boolean extend() {
        if (waitsLonger) {
            return false;
        }
        waitsLonger = true;
        deniedWaitsMs.clear();
        return true;
    }

    /** Forgets which runners denied the request, after a pause. */
    void clear() {
        deniedWaitsMs.clear();
    }

    /** The shortest time after which a runner would accept the request, in ms; 0 if none denied. */
    long shortestMs() {
        return isDenied() ? Collections.min(deniedWaitsMs.values()) : 0;
    }

    /** Time that the request has waited, in ms. */
    long delayMs() {
        return delayMs;
    }
}
