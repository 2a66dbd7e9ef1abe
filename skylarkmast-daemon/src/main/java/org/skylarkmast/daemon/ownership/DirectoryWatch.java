package org.skylarkmast.daemon.ownership;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import org.skylarkmast.core.json.JsonUtil;
import org.skylarkmast.core.key.ProgramKey;
import org.skylarkmast.core.ownership.OwnerRecord;
import org.skylarkmast.core.ownership.OwnershipEvent;
import org.skylarkmast.core.ownership.SessionRecord;
import org.skylarkmast.core.store.KeyValueStore;
import org.skylarkmast.core.store.RangeResult;
import org.skylarkmast.core.store.StoreEntry;
import org.skylarkmast.core.store.StoreKeys;
import org.skylarkmast.core.store.StoreOutcome;
import org.skylarkmast.core.store.Watch;
import org.skylarkmast.core.store.WatchEvent;
import org.skylarkmast.daemon.loop.EventLoop;

/**
 * Reads all partition records and sessions, then reports their changes.
 *
 * <p>One watch covers both: no other keys lie between the two prefixes. While the key-value service
 * does not answer, nothing is reported and what was reported stays. Owned by the ownership loop.
 */
final class DirectoryWatch {
    private static final long RETRY_NS = 250_000_000L;
    private static final String FROM_KEY = StoreKeys.PARTITIONS;
    private static final String TO_KEY = StoreKeys.endOfPrefix(StoreKeys.SESSIONS);

    private final KeyValueStore store;
    private final EventLoop loop;
    private final Executor blocking;
    private final Consumer<OwnershipEvent> events;
    private final Set<String> knownSessions = new HashSet<>();

    private Watch watch;
    private int generation;
    private boolean closed;

    /**
     * Creates a watch that is not started.
     *
     * @param events called on {@code loop}
     */
    DirectoryWatch(
            KeyValueStore store,
            EventLoop loop,
            Executor blocking,
            Consumer<OwnershipEvent> events) {
        this.store = store;
        this.loop = loop;
        this.blocking = blocking;
        this.events = events;
    }

    /** Reads everything and goes on from there; called on the loop. */
    void start() {
        if (closed) {
            return;
        }
        blocking.execute(
                () -> {
                    StoreOutcome<RangeResult> outcome = store.range(FROM_KEY, TO_KEY, 0);
                    loop.execute(() -> started(outcome));
                });
    }

    /** Reads one partition record again. */
    void refresh(int partition) {
        blocking.execute(
                () -> {
                    StoreOutcome<RangeResult> outcome = store.read(StoreKeys.partition(partition));
                    if (outcome instanceof StoreOutcome.Done<RangeResult>(RangeResult result)) {
                        loop.execute(() -> refreshed(partition, result));
                    }
                });
    }

    void close() {
        closed = true;
        stopWatch();
    }

    private void refreshed(int partition, RangeResult result) {
        if (result.entries().isEmpty()) {
            events.accept(
                    new OwnershipEvent.RecordSeen(partition, Optional.empty(), result.revision()));
        } else {
            written(result.entries().getFirst());
        }
    }

    private void started(StoreOutcome<RangeResult> outcome) {
        if (closed) {
            return;
        }
        if (!(outcome instanceof StoreOutcome.Done<RangeResult>(RangeResult result))) {
            loop.schedule(this::start, RETRY_NS);
            return;
        }
        Set<String> read = new HashSet<>();
        for (StoreEntry entry : result.entries()) {
            read.add(entry.key());
            written(entry);
        }
        Set<String> gone = new HashSet<>(knownSessions);
        gone.removeIf(incarnation -> read.contains(StoreKeys.session(incarnation)));
        gone.forEach(this::sessionGone);
        IntStream.range(0, ProgramKey.PARTITIONS)
                .filter(partition -> !read.contains(StoreKeys.partition(partition)))
                .mapToObj(
                        partition ->
                                new OwnershipEvent.RecordSeen(
                                        partition, Optional.empty(), result.revision()))
                .forEach(events);
        events.accept(new OwnershipEvent.DirectoryRead());
        stopWatch();
        int current = generation;
        watch =
                store.watch(
                        FROM_KEY,
                        TO_KEY,
                        result.revision() + 1,
                        event -> loop.execute(() -> changed(current, event)));
    }

    private void changed(int watchGeneration, WatchEvent event) {
        if (watchGeneration != generation) {
            return;
        }
        switch (event) {
            case WatchEvent.Written(StoreEntry entry) -> written(entry);
            case WatchEvent.Removed(String key, long revision) -> removed(key, revision);
            case WatchEvent.Lost(String reason) -> {
                stopWatch();
                loop.schedule(this::start, RETRY_NS);
            }
        }
    }

    private void written(StoreEntry entry) {
        if (entry.key().startsWith(StoreKeys.PARTITIONS)) {
            OwnerRecord record = JsonUtil.fromBytes(entry.value(), OwnerRecord.class);
            events.accept(
                    new OwnershipEvent.RecordSeen(
                            partition(entry.key()), Optional.of(record), entry.modRevision()));
        } else if (entry.key().startsWith(StoreKeys.SESSIONS)) {
            String incarnation = entry.key().substring(StoreKeys.SESSIONS.length());
            knownSessions.add(incarnation);
            events.accept(
                    new OwnershipEvent.SessionSeen(
                            incarnation, JsonUtil.fromBytes(entry.value(), SessionRecord.class)));
        }
    }

    private void removed(String key, long revision) {
        if (key.startsWith(StoreKeys.PARTITIONS)) {
            events.accept(
                    new OwnershipEvent.RecordSeen(partition(key), Optional.empty(), revision));
        } else if (key.startsWith(StoreKeys.SESSIONS)) {
            sessionGone(key.substring(StoreKeys.SESSIONS.length()));
        }
    }

    private void sessionGone(String incarnation) {
        knownSessions.remove(incarnation);
        events.accept(new OwnershipEvent.SessionGone(incarnation));
    }

    private void stopWatch() {
        generation++;
        if (watch != null) {
            watch.close();
            watch = null;
        }
    }

    private static int partition(String key) {
        return Integer.parseInt(key.substring(StoreKeys.PARTITIONS.length()));
    }
}
