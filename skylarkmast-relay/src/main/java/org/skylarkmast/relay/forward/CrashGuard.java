package org.skylarkmast.relay.forward;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.skylarkmast.relay.quarantine.Quarantine;
import org.skylarkmast.relay.quarantine.QuarantineDecision;
import org.skylarkmast.relay.quarantine.RequestFingerprint;
import org.skylarkmast.relay.quarantine.Suspect;
import org.skylarkmast.relay.runner.Runner;

/** Keeps one request from ending further runners. Confined to one thread. */
final class CrashGuard {

    /**
     * Time for which an admission holds: from the check before the request's tokens are reserved to
     * its send. A request that has to wait longer is checked again.
     */
    private static final long ADMISSION_NS = TimeUnit.MILLISECONDS.toNanos(500);

    /**
     * Runners that one attempt may end. A second one in a row is hardly the fault of others, and
     * the caller's next attempt decides by what all nodes know.
     */
    private static final int MAX_CRASHES_PER_ATTEMPT = 2;

    private final Quarantine quarantine;
    private final RunnerCrashDetector detector;
    private final Runnable reportCrash;
    private final Supplier<RequestFingerprint> digest;

    /** Computed when it is first needed: most requests are never compared with another. */
    private RequestFingerprint fingerprint;

    private int crashes;

    /** End of the time for which the last admission holds, on the JDK's monotonic clock. */
    private long admittedUntilNs = System.nanoTime();

    /**
     * @param reportCrash tells the other nodes of a crash without waiting for the next report
     * @param digest computes the request's fingerprint
     */
    CrashGuard(
            Quarantine quarantine,
            RunnerCrashDetector detector,
            Runnable reportCrash,
            Supplier<RequestFingerprint> digest) {
        this.quarantine = quarantine;
        this.detector = detector;
        this.reportCrash = reportCrash;
        this.digest = digest;
    }

    /** Returns the refusal of a request that must not be sent to a runner; empty if it may. */
    Optional<Refusal> refusal() {
        if (crashes >= MAX_CRASHES_PER_ATTEMPT) {
            return Optional.of(Refusal.mayHaveRun(crashes + " runners ended under this request"));
        }
        if (!quarantine.hasSuspects() || System.nanoTime() - admittedUntilNs < 0) {
            return Optional.empty();
        }
        return switch (quarantine.decide(fingerprint())) {
            case QuarantineDecision.Admitted admitted -> {
                admittedUntilNs = System.nanoTime() + ADMISSION_NS;
                yield Optional.empty();
            }
            case QuarantineDecision.Quarantined quarantined ->
                    Optional.of(
                            Refusal.notRun(
                                    quarantined.remainingMs(),
                                    quarantined.crashes() + " runners ended under this request"));
        };
    }

    /**
     * Records that the exchange with {@code runner} broke before the runner produced any event.
     *
     * @param heldMs time since the request was sent to it
     */
    void exchangeBroke(Runner runner, long heldMs) throws InterruptedException {
        if (detector.hasCrashed(runner)) {
            crashes++;
            admittedUntilNs = System.nanoTime();
            quarantine.recordCrash(
                    runner.incarnation(), List.of(new Suspect(fingerprint(), heldMs)));
            reportCrash.run();
        }
    }

    /** Records that a runner answered the request completely. */
    void completed() {
        if (quarantine.hasSuspects()) {
            quarantine.recordCompletion(fingerprint());
        }
    }

    /** The fingerprint as in logs; empty if it was not needed. */
    String fingerprintText() {
        return fingerprint == null ? "" : fingerprint.hex();
    }

    private RequestFingerprint fingerprint() {
        if (fingerprint == null) {
            fingerprint = digest.get();
        }
        return fingerprint;
    }
}
