package org.skylarkmast.daemon.partition;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.skylarkmast.core.program.CallerEvent;

/** The callers that wait for events of their requests on this node. Thread-safe. */
public final class WaiterTable {
    private final AtomicLong nextId = new AtomicLong(1);
    private final Map<Long, Consumer<CallerEvent>> waiters = new ConcurrentHashMap<>();

    /** Adds a waiter and returns its id; the waiter is removed when its final event is emitted. */
    public long add(Consumer<CallerEvent> waiter) {
        long id = nextId.getAndIncrement();
        waiters.put(id, waiter);
        return id;
    }

    /** Passes an event to its waiter; does nothing if the waiter was removed. */
    public void emit(long id, CallerEvent event) {
        Consumer<CallerEvent> waiter = event.isFinal() ? waiters.remove(id) : waiters.get(id);
        if (waiter != null) {
            waiter.accept(event);
        }
    }

    /** Removes a waiter whose caller has disconnected. */
    public void remove(long id) {
        waiters.remove(id);
    }

    /** Number of waiters. */
    public int size() {
        return waiters.size();
    }
}
