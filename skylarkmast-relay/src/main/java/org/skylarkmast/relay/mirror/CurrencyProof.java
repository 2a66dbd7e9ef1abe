package org.skylarkmast.relay.mirror;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.LongSupplier;

/**
 * What this process knows of moments at which a configuration was the newest in the key-value
 * service; thread-safe.
 *
 * <p>A proof says: at a moment, which is the one at which the read that produced it was sent, the
 * configuration of a revision was the newest. It is a fact about the service, whoever holds it, so
 * it may be passed on any number of times with its age. Elapsed time is measured on the monotonic
 * clock and on the time of day, and the larger counts: the monotonic clock of a suspended machine
 * stands still.
 */
public final class CurrencyProof {
    private static final long NS_PER_MS = 1_000_000;

    private final LongSupplier clockNs;
    private final LongSupplier timeOfDayMs;

    /** The proof of the highest revision. */
    private Proof newest = Proof.NONE;

    /** The proof of a lower revision, which counts until the newer configuration is in force. */
    private Proof earlier = Proof.NONE;

    /** A moment on both clocks of this process. */
    public record Moment(long monotonicNs, long timeOfDayMs) {}

    /**
     * A proof as it is passed on.
     *
     * @param ageMs age at the moment at which the request for it was received; negative if the
     *     proof was produced after that
     * @param revision revision of the configuration that was the newest
     */
    public record Statement(long ageMs, long revision) {}

    private record Proof(Moment sent, long ageAtSendMs, long revision, String source) {
        static final Proof NONE = new Proof(new Moment(0, 0), 0, 0, "");

        boolean exists() {
            return revision > 0;
        }
    }

    /**
     * @param clockNs monotonic clock, in ns
     * @param timeOfDayMs time of day, in ms
     */
    public CurrencyProof(LongSupplier clockNs, LongSupplier timeOfDayMs) {
        this.clockNs = clockNs;
        this.timeOfDayMs = timeOfDayMs;
    }

    /** Returns the present moment, to be taken before a read or a request for a proof is sent. */
    public Moment now() {
        return new Moment(clockNs.getAsLong(), timeOfDayMs.getAsLong());
    }

    /** Records that a linearizable read that was sent at {@code sent} found {@code revision}. */
    public void recordRead(Moment sent, long revision) {
        record(new Proof(sent, 0, revision, "store"));
    }

    /** Records what another node has answered to a request that was sent at {@code sent}. */
    public void recordStatement(Moment sent, Statement statement) {
        // No proof is younger than its arrival, whatever the other node's clocks say.
        long oldestMs = -Math.max(0, (clockNs.getAsLong() - sent.monotonicNs()) / NS_PER_MS);
        long ageMs = Math.max(oldestMs, statement.ageMs());
        record(new Proof(sent, ageMs, statement.revision(), "storage node"));
    }

    private synchronized void record(Proof proof) {
        if (!proof.exists()) {
            return;
        }
        if (proof.revision() > newest.revision()) {
            earlier = newest;
            newest = proof;
        } else if (proof.revision() == newest.revision()) {
            newest = younger(newest, proof);
        } else if (proof.revision() > earlier.revision()) {
            earlier = proof;
        } else if (proof.revision() == earlier.revision()) {
            earlier = younger(earlier, proof);
        }
    }

    private Proof younger(Proof one, Proof other) {
        return ageMs(other) <= ageMs(one) ? other : one;
    }

    /**
     * Returns the age of the newest proof, whatever its revision, in ms; empty if there is none.
     */
    public synchronized OptionalLong ageMs() {
        return newest.exists() ? OptionalLong.of(ageMs(newest)) : OptionalLong.empty();
    }

    /**
     * Returns the age in ms of the youngest proof that counts while the configuration of {@code
     * appliedRevision} is in force; empty if there is none.
     */
    public synchronized OptionalLong ageMs(long appliedRevision) {
        Proof counting = counting(appliedRevision);
        return counting.exists() ? OptionalLong.of(ageMs(counting)) : OptionalLong.empty();
    }

    /** Returns where that proof comes from, for logs; empty if there is none. */
    public synchronized String source(long appliedRevision) {
        return counting(appliedRevision).source();
    }

    private Proof counting(long appliedRevision) {
        if (newest.revision() <= appliedRevision) {
            return newest;
        }
        return earlier.revision() <= appliedRevision ? earlier : Proof.NONE;
    }

    /** Returns the newest proof for the answer to a request that was received at {@code at}. */
    public synchronized Optional<Statement> statementFor(Moment at) {
        if (!newest.exists()) {
            return Optional.empty();
        }
        boolean sentBefore = at.monotonicNs() - newest.sent().monotonicNs() >= 0;
        long ageAtReceiptMs =
                sentBefore
                        ? maxElapsedMs(newest.sent(), at)
                        : -Math.max(0, minElapsedMs(at, newest.sent()));
        return Optional.of(new Statement(newest.ageAtSendMs() + ageAtReceiptMs, newest.revision()));
    }

    private long ageMs(Proof proof) {
        return Math.max(0, proof.ageAtSendMs() + maxElapsedMs(proof.sent(), now()));
    }

    private static long maxElapsedMs(Moment from, Moment to) {
        return Math.max(
                Math.ceilDiv(to.monotonicNs() - from.monotonicNs(), NS_PER_MS),
                to.timeOfDayMs() - from.timeOfDayMs());
    }

    private static long minElapsedMs(Moment from, Moment to) {
        return Math.min(
                Math.floorDiv(to.monotonicNs() - from.monotonicNs(), NS_PER_MS),
                to.timeOfDayMs() - from.timeOfDayMs());
    }
}
