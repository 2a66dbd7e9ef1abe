package org.skylarkmast.daemon.partition;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.skylarkmast.core.program.CallerEvent;

/** Who waits for which request on this node; thread-safe. */
public final class WaiterTable {
    private final AtomicLong nextId = new AtomicLong(1);
    private final Map<Long, Consumer<CallerEvent>> waiters = new ConcurrentHashMap<>();

    /** Adds a waiter and returns its id; it is removed with its final event. */
    public long add(Consumer<CallerEvent> waiter) {
        long id = nextId.getAndIncrement();
        waiters.put(id, waiter);
        return id;
    }

    /** Passes an event on; nothing happens if the waiter left. */
    public void emit(long id, CallerEvent event) {
        Consumer<CallerEvent> waiter = event.isFinal() ? waiters.remove(id) : waiters.get(id);
        if (waiter != null) {
            waiter.accept(event);
        }
    }

    /** Removes a waiter that left. */
    public void remove(long id) {
        waiters.remove(id);
    }

    /** Waiters present. */
    public int size() {
        return waiters.size();
    }
}
