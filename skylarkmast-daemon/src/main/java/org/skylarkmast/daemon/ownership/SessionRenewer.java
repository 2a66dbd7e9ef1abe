package org.skylarkmast.daemon.ownership;

import java.util.concurrent.Executor;
import java.util.function.Consumer;
import org.skylarkmast.core.ownership.OwnershipEvent;
import org.skylarkmast.daemon.loop.EventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Renews the session of this node and opens a new one when it no longer exists.
 *
 * <p>Owned by the ownership loop; at most one call to open or renew is in flight.
 */
final class SessionRenewer {
    private static final Logger LOG = LoggerFactory.getLogger(SessionRenewer.class);
    private static final long NS_PER_MS = 1_000_000L;

    /** Attempts per renewal interval while the key-value service is unavailable. */
    private static final int RETRIES_PER_RENEWAL = 4;

    private final NodeSession session;
    private final EventLoop loop;
    private final Executor blocking;
    private final long renewIntervalMs;
    private final Consumer<OwnershipEvent> events;

    private boolean closed;
    private boolean callInFlight;
    private boolean drainingMarkPending;
    private int callCount;

    SessionRenewer(
            NodeSession session,
            EventLoop loop,
            Executor blocking,
            long renewIntervalMs,
            Consumer<OwnershipEvent> events) {
        this.session = session;
        this.loop = loop;
        this.blocking = blocking;
        this.renewIntervalMs = renewIntervalMs;
        this.events = events;
    }

    /** Opens the first session. */
    void start() {
        openOrRenew();
    }

    /** Marks the session as draining; retried with each renewal until the mark is stored. */
    void markDraining() {
        drainingMarkPending = true;
        blocking.execute(
                () -> {
                    boolean stored = session.markDraining();
                    loop.execute(() -> drainingMarkPending = !stored);
                });
    }

    /**
     * Opens a new session immediately if {@code incarnation}, whose key is gone, is the current
     * one.
     */
    void onSessionGone(String incarnation) {
        if (!callInFlight && session.incarnation().filter(incarnation::equals).isPresent()) {
            session.abandon();
            openOrRenew();
        }
    }

    void close() {
        closed = true;
    }

    private void scheduleCall(long delayMs) {
        int expectedCallCount = callCount;
        loop.schedule(
                () -> {
                    if (callCount == expectedCallCount) {
                        openOrRenew();
                    }
                },
                delayMs * NS_PER_MS);
    }

    private void openOrRenew() {
        if (closed) {
            return;
        }
        callCount++;
        callInFlight = true;
        boolean wasOpen = session.incarnation().isPresent();
        boolean writeMark = drainingMarkPending;
        blocking.execute(
                () -> {
                    NodeSession.SessionOutcome outcome = wasOpen ? session.renew() : session.open();
                    boolean markStored = writeMark && session.markDraining();
                    loop.execute(
                            () -> {
                                drainingMarkPending &= !markStored;
                                onOutcome(wasOpen, outcome);
                            });
                });
    }

    private void onOutcome(boolean wasOpen, NodeSession.SessionOutcome outcome) {
        callInFlight = false;
        switch (outcome) {
            case NodeSession.SessionOutcome.Open(String incarnation) -> {
                if (!wasOpen) {
                    log("session_opened", incarnation);
                    events.accept(new OwnershipEvent.SessionOpened(incarnation, session.record()));
                }
                scheduleCall(renewIntervalMs);
            }
            case NodeSession.SessionOutcome.Gone() -> {
                log("session_gone", "");
                events.accept(new OwnershipEvent.SessionLost());
                openOrRenew();
            }
            case NodeSession.SessionOutcome.Unavailable(String reason) -> {
                log("session_unavailable", reason);
                scheduleCall(renewIntervalMs / RETRIES_PER_RENEWAL);
            }
        }
    }

    private static void log(String event, String detail) {
        LOG.atInfo().addKeyValue("event", event).addKeyValue("detail", detail).log();
    }
}
