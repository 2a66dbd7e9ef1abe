package org.skylarkmast.relay.mirror;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.LongSupplier;
import org.skylarkmast.core.store.RangeResult;
import org.skylarkmast.core.store.StoreEntry;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A copy of the key-value service's content.
 *
 * <p>The newest revision of a key wins, wherever it came from, so nothing ever goes back. Keys that
 * are bound to leases lapse while the service is away although their owners live: what is missing
 * after an outage stays for {@link #RETURN_GRACE_MS}, in which its owner writes it again.
 * Thread-safe; the listener is called by one thread at a time.
 */
public final class StoreMirror implements StoreFollower.Listener {
    private static final Logger LOG = LoggerFactory.getLogger(StoreMirror.class);

    /** Owners of lapsed keys write them again within about two seconds of the service's return. */
    public static final long RETURN_GRACE_MS = 2000;

    /** Removals remembered; whoever knows less is sent everything. */
    private static final int MAX_REMOVALS = 2000;

    private static final long NS_PER_MS = 1_000_000;

    private final Listener listener;
    private final LongSupplier clockNs;
    private final Map<String, StoreEntry> entries = new HashMap<>();
    private final Map<String, Long> removedAt =
            new LinkedHashMap<>() {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
                    boolean tooMany = size() > MAX_REMOVALS;
                    if (tooMany) {
                        forgottenRevision = Math.max(forgottenRevision, eldest.getValue());
                    }
                    return tooMany;
                }
            };

    /** Until when keys that were missing are kept, in ns of the clock. */
    private final Map<String, Long> lapses = new HashMap<>();

    private long revision;
    private long forgottenRevision;

    /** Is told what changed. */
    public interface Listener {

        /** A key was written. */
        void written(StoreEntry entry);

        /** A key was removed. */
        void removed(String key);

        /** The whole content was told, at least once. */
        void complete();
    }

    /**
     * @param clockNs steady clock, in ns
     */
    public StoreMirror(Listener listener, LongSupplier clockNs) {
        this.listener = listener;
        this.clockNs = clockNs;
    }

    /** Revision up to which all changes are known, 0 before the first reading. */
    public synchronized long revision() {
        return revision;
    }

    /** A number that two mirrors share if they hold the same keys at the same revisions. */
    public synchronized long digest() {
        long digest = 0;
        for (StoreEntry entry : entries.values()) {
            digest += Objects.hash(entry.key(), entry.modRevision());
        }
        return digest;
    }

    @Override
    public synchronized void all(RangeResult read, boolean afterOutage) {
        List<String> missing = missing(read);
        keepOrRemove(missing, read.revision(), afterOutage);
        read.entries().forEach(this::put);
        advance(read.revision());
        listener.complete();
    }

    private List<String> missing(RangeResult read) {
        Set<String> present = new HashSet<>();
        read.entries().forEach(entry -> present.add(entry.key()));
        List<String> missing = new ArrayList<>();
        for (StoreEntry held : entries.values()) {
            if (!present.contains(held.key()) && held.modRevision() <= read.revision()) {
                missing.add(held.key());
            }
        }
        return missing;
    }

    private void keepOrRemove(List<String> missing, long atRevision, boolean lapsed) {
        for (String key : missing) {
            if (lapsed) {
                long untilNs = clockNs.getAsLong() + RETURN_GRACE_MS * NS_PER_MS;
                lapses.putIfAbsent(key, untilNs);
            } else {
                remove(key, atRevision);
            }
        }
        if (!missing.isEmpty()) {
            LOG.atInfo()
                    .addKeyValue("event", "keys_missing")
                    .addKeyValue("keys", missing)
                    .addKeyValue("revision", atRevision)
                    .addKeyValue("kept", lapsed)
                    .log();
        }
    }

    @Override
    public synchronized void written(StoreEntry entry) {
        put(entry);
        advance(entry.modRevision());
    }

    @Override
    public synchronized void removed(String key, long atRevision) {
        remove(key, atRevision);
        advance(atRevision);
    }

    @Override
    public synchronized void tick() {
        long nowNs = clockNs.getAsLong();
        for (Map.Entry<String, Long> lapse : List.copyOf(lapses.entrySet())) {
            if (nowNs - lapse.getValue() >= 0) {
                lapses.remove(lapse.getKey());
                // Nothing up to this revision wrote it again.
                remove(lapse.getKey(), revision);
            }
        }
    }

    /** Takes what another mirror holds. */
    public synchronized void merge(MirrorChanges changes) {
        if (changes.revision() == 0) {
            // The sender has not read anything yet.
            return;
        }
        if (changes.whole()) {
            RangeResult read = new RangeResult(changes.written(), changes.revision(), false);
            // The sender has kept what lapsed for as long as it should be.
            keepOrRemove(missing(read), changes.revision(), false);
            changes.written().forEach(this::put);
            advance(changes.revision());
            listener.complete();
            return;
        }
        changes.written().forEach(this::put);
        changes.removed().forEach(removed -> remove(removed.key(), removed.revision()));
        advance(changes.revision());
    }

    /**
     * What is newer than {@code knownRevision}.
     *
     * @param knownDigest the {@link #digest} of the asker, which is told everything if it should be
     *     the same and is not
     * @param live whether this process is up to date with the service
     */
    public synchronized MirrorChanges since(long knownRevision, long knownDigest, boolean live) {
        boolean differs = knownRevision == revision && knownDigest != digest();
        boolean whole = differs || knownRevision < Math.max(1, forgottenRevision);
        List<StoreEntry> written = new ArrayList<>();
        for (StoreEntry entry : entries.values()) {
            // Also what has the known revision itself: one change may write several keys.
            if (whole || entry.modRevision() >= knownRevision) {
                written.add(entry);
            }
        }
        List<MirrorChanges.Removed> removed = new ArrayList<>();
        removedAt.forEach(
                (key, atRevision) -> {
                    if (!whole && atRevision >= knownRevision) {
                        removed.add(new MirrorChanges.Removed(key, atRevision));
                    }
                });
        return new MirrorChanges(revision, whole, live, written, removed);
    }

    /** Waits until there is something newer than {@code knownRevision}, at most {@code waitMs}. */
    public synchronized void awaitNewer(long knownRevision, long waitMs)
            throws InterruptedException {
        long endNs = clockNs.getAsLong() + waitMs * NS_PER_MS;
        long leftMs = waitMs;
        while (revision <= knownRevision && leftMs > 0) {
            wait(leftMs);
            leftMs = (endNs - clockNs.getAsLong()) / NS_PER_MS;
        }
    }

    private void put(StoreEntry entry) {
        StoreEntry held = entries.get(entry.key());
        Long removal = removedAt.get(entry.key());
        boolean newer =
                (held == null || held.modRevision() < entry.modRevision())
                        && (removal == null || removal < entry.modRevision());
        if (newer) {
            entries.put(entry.key(), entry);
            removedAt.remove(entry.key());
            lapses.remove(entry.key());
            listener.written(entry);
        }
    }

    private void remove(String key, long atRevision) {
        StoreEntry held = entries.get(key);
        if (held != null && held.modRevision() > atRevision) {
            return;
        }
        Long before = removedAt.remove(key);
        removedAt.put(key, before == null ? atRevision : Math.max(before, atRevision));
        lapses.remove(key);
        if (entries.remove(key) != null) {
            listener.removed(key);
        }
    }

    private void advance(long to) {
        if (to > revision) {
            revision = to;
            notifyAll();
        }
    }
}
