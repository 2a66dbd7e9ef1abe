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
 * Reads all ownership records and sessions, then reports their changes.
 *
 * <p>One watch covers both because no other keys lie between the two prefixes. While the key-value
 * service is unavailable nothing is reported, so earlier reports remain in effect. Owned by the
 * ownership loop.
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
     * Creates a watch; {@link #start} starts it.
     *
     * @param events receives the events; called on {@code loop}
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

    /**
     * Reads all records and sessions and watches for changes from the revision read; called on the
     * loop.
     */
    void start() {
        if (closed) {
            return;
        }
        blocking.execute(
                () -> {
                    StoreOutcome<RangeResult> outcome = store.range(FROM_KEY, TO_KEY, 0);
                    loop.execute(() -> onDirectoryRead(outcome));
                });
    }

    /** Reads one ownership record again. */
    void refresh(int partition) {
        blocking.execute(
                () -> {
                    StoreOutcome<RangeResult> outcome = store.read(StoreKeys.partition(partition));
                    if (outcome instanceof StoreOutcome.Done<RangeResult>(RangeResult result)) {
                        loop.execute(() -> onRecordRead(partition, result));
                    }
                });
    }

    void close() {
        closed = true;
        stopWatch();
    }

    private void onRecordRead(int partition, RangeResult result) {
        if (result.entries().isEmpty()) {
            events.accept(
                    new OwnershipEvent.RecordSeen(partition, Optional.empty(), result.revision()));
        } else {
            onWritten(result.entries().getFirst());
        }
    }

    private void onDirectoryRead(StoreOutcome<RangeResult> outcome) {
        if (closed) {
            return;
        }
        if (!(outcome instanceof StoreOutcome.Done<RangeResult>(RangeResult result))) {
            loop.schedule(this::start, RETRY_NS);
            return;
        }
        Set<String> readKeys = new HashSet<>();
        for (StoreEntry entry : result.entries()) {
            readKeys.add(entry.key());
            onWritten(entry);
        }
        Set<String> goneSessions = new HashSet<>(knownSessions);
        goneSessions.removeIf(incarnation -> readKeys.contains(StoreKeys.session(incarnation)));
        goneSessions.forEach(this::onSessionGone);
        IntStream.range(0, ProgramKey.PARTITIONS)
                .filter(partition -> !readKeys.contains(StoreKeys.partition(partition)))
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
                        event -> loop.execute(() -> onWatchEvent(current, event)));
    }

    private void onWatchEvent(int watchGeneration, WatchEvent event) {
        if (watchGeneration != generation) {
            return;
        }
        switch (event) {
            case WatchEvent.Written(StoreEntry entry) -> onWritten(entry);
            case WatchEvent.Removed(String key, long revision) -> onRemoved(key, revision);
            case WatchEvent.Lost(String reason) -> {
                stopWatch();
                loop.schedule(this::start, RETRY_NS);
            }
        }
    }

    private void onWritten(StoreEntry entry) {
        if (entry.key().startsWith(StoreKeys.PARTITIONS)) {
            OwnerRecord record = JsonUtil.fromBytes(entry.value(), OwnerRecord.class);
            events.accept(
                    new OwnershipEvent.RecordSeen(
                            partitionOf(entry.key()), Optional.of(record), entry.modRevision()));
        } else if (entry.key().startsWith(StoreKeys.SESSIONS)) {
            String incarnation = entry.key().substring(StoreKeys.SESSIONS.length());
            knownSessions.add(incarnation);
            events.accept(
                    new OwnershipEvent.SessionSeen(
                            incarnation, JsonUtil.fromBytes(entry.value(), SessionRecord.class)));
        }
    }

    private void onRemoved(String key, long revision) {
        if (key.startsWith(StoreKeys.PARTITIONS)) {
            events.accept(
                    new OwnershipEvent.RecordSeen(partitionOf(key), Optional.empty(), revision));
        } else if (key.startsWith(StoreKeys.SESSIONS)) {
            onSessionGone(key.substring(StoreKeys.SESSIONS.length()));
        }
    }

    private void onSessionGone(String incarnation) {
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

    private static int partitionOf(String key) {
        return Integer.parseInt(key.substring(StoreKeys.PARTITIONS.length()));
    }
}
