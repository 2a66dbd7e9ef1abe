package org.skylarkmast.daemon.ownership;

import java.util.concurrent.Executor;
import java.util.function.Consumer;
import org.skylarkmast.core.ownership.OwnershipEvent;
import org.skylarkmast.daemon.loop.EventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps this node's session open: renews it, and opens a new one when it is gone.
 *
 * <p>Owned by the ownership loop; at most one call is under way.
 */
final class SessionLoop {
    private static final Logger LOG = LoggerFactory.getLogger(SessionLoop.class);
    private static final long NS_PER_MS = 1_000_000L;

    /** Renewals are tried this much more often while they fail. */
    private static final int RETRIES_PER_RENEWAL = 4;

    private final NodeSession session;
    private final EventLoop loop;
    private final Executor blocking;
    private final long renewEveryMs;
    private final Consumer<OwnershipEvent> events;

    private boolean closed;
    private boolean underWay;
    private boolean markDraining;
    private int steps;

    SessionLoop(
            NodeSession session,
            EventLoop loop,
            Executor blocking,
            long renewEveryMs,
            Consumer<OwnershipEvent> events) {
        this.session = session;
        this.loop = loop;
        this.blocking = blocking;
        this.renewEveryMs = renewEveryMs;
        this.events = events;
    }

    /** Opens the first session. */
    void start() {
        step();
    }

    /** Tells other nodes that this one drains; tried until it is stored. */
    void markDraining() {
        markDraining = true;
        blocking.execute(
                () -> {
                    boolean stored = session.markDraining();
                    loop.execute(() -> markDraining = !stored);
                });
    }

    /** The key of {@code incarnation} was seen to be gone; a new session is opened at once. */
    void sessionGone(String incarnation) {
        if (!underWay && session.incarnation().filter(incarnation::equals).isPresent()) {
            session.abandon();
            step();
        }
    }

    void close() {
        closed = true;
    }

    private void stepLater(long delayMs) {
        int expected = steps;
        loop.schedule(
                () -> {
                    if (steps == expected) {
                        step();
                    }
                },
                delayMs * NS_PER_MS);
    }

    private void step() {
        if (closed) {
            return;
        }
        steps++;
        underWay = true;
        boolean wasOpen = session.incarnation().isPresent();
        boolean mark = markDraining;
        blocking.execute(
                () -> {
                    NodeSession.SessionOutcome outcome = wasOpen ? session.renew() : session.open();
                    boolean marked = mark && session.markDraining();
                    loop.execute(
                            () -> {
                                markDraining &= !marked;
                                stepped(wasOpen, outcome);
                            });
                });
    }

    private void stepped(boolean wasOpen, NodeSession.SessionOutcome outcome) {
        underWay = false;
        switch (outcome) {
            case NodeSession.SessionOutcome.Open(String incarnation) -> {
                if (!wasOpen) {
                    log("session_opened", incarnation);
                    events.accept(new OwnershipEvent.SessionOpened(incarnation, session.record()));
                }
                stepLater(renewEveryMs);
            }
            case NodeSession.SessionOutcome.Gone() -> {
                log("session_gone", "");
                events.accept(new OwnershipEvent.SessionLost());
                step();
            }
            case NodeSession.SessionOutcome.Unavailable(String reason) -> {
                log("session_unavailable", reason);
                stepLater(renewEveryMs / RETRIES_PER_RENEWAL);
            }
        }
    }

    private static void log(String event, String detail) {
        LOG.atInfo().addKeyValue("event", event).addKeyValue("detail", detail).log();
    }
}
