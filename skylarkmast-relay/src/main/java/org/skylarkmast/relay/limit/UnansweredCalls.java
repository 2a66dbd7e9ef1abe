package org.skylarkmast.relay.limit;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.skylarkmast.relay.ledger.LedgerView;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The storage nodes that did not answer the last call, and the pauses until they are called again;
 * thread-safe. Logs when one stops answering and when it answers again.
 */
final class UnansweredCalls {
    private static final Logger LOG = LoggerFactory.getLogger(UnansweredCalls.class);

    /** Time after an unanswered call during which a storage node is not called again. */
    private static final long PAUSE_MS = 500;

    private final LongSupplier clockNs;
    private final String lostEvent;
    private final String regainedEvent;

    /** The storage nodes that did not answer, by address. */
    private final Map<String, Unanswered> unanswered = new ConcurrentHashMap<>();

    /**
     * Consecutive unanswered calls.
     *
     * @param firstNs when the first of them ended
     * @param lastNs when the last of them ended
     */
    private record Unanswered(long firstNs, long lastNs) {}

    /**
     * @param clockNs monotonic clock, in ns
     * @param lostEvent event logged when a storage node does not answer
     * @param regainedEvent event logged when it answers again
     */
    UnansweredCalls(LongSupplier clockNs, String lostEvent, String regainedEvent) {
        this.clockNs = clockNs;
        this.lostEvent = lostEvent;
        this.regainedEvent = regainedEvent;
    }

    /** Whether the last call to {@code member} was not answered. */
    boolean isUnanswered(LedgerView.Member member) {
        return unanswered.containsKey(member.address());
    }

    /** Whether {@code member} is not to be called, as it did not answer recently. */
    boolean isPaused(LedgerView.Member member) {
        Unanswered calls = unanswered.get(member.address());
        return calls != null
                && clockNs.getAsLong() - calls.lastNs() < TimeUnit.MILLISECONDS.toNanos(PAUSE_MS);
    }

    /** Returns since when {@code member} has not answered, or {@code nowNs} if it does. */
    long unansweredSinceNs(LedgerView.Member member, long nowNs) {
        Unanswered calls = unanswered.get(member.address());
        return calls == null ? nowNs : calls.firstNs();
    }

    /** Records a call to {@code member}. */
    void record(LedgerView.Member member, boolean answered) {
        long nowNs = clockNs.getAsLong();
        Unanswered before =
                answered
                        ? unanswered.remove(member.address())
                        : unanswered.put(
                                member.address(),
                                new Unanswered(unansweredSinceNs(member, nowNs), nowNs));
        boolean wasAnswering = before == null;
        if (wasAnswering != answered) {
            LOG.atWarn()
                    .addKeyValue("event", answered ? regainedEvent : lostEvent)
                    .addKeyValue("keeper", member)
                    .log();
        }
    }
}
