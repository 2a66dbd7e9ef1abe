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
 * <p>The newest revision of a key wins, whichever source it came from, so a key never reverts to an
 * older revision. While the service is unreachable, leases expire and the keys bound to them are
 * deleted although their owners are alive. Keys that are missing after an outage are therefore kept
 * for {@link #REWRITE_GRACE_MS}, in which their owners write them again. Thread-safe; the listener
 * is called by one thread at a time.
 */
public final class StoreMirror implements StoreFollower.Listener {
    private static final Logger LOG = LoggerFactory.getLogger(StoreMirror.class);

    /**
     * Time for which missing keys are kept after an outage: owners of expired keys write them again
     * within about two seconds after the service is reachable again.
     */
    public static final long REWRITE_GRACE_MS = 2000;

    /** Maximum number of removals kept; a requester that is further behind is sent a snapshot. */
    private static final int MAX_REMOVALS = 2000;

    private static final long NS_PER_MS = 1_000_000;

    private final Listener listener;
    private final LongSupplier clockNs;
    private final Map<String, StoreEntry> entries = new HashMap<>();
    private final Map<String, Long> removalRevisions =
            new LinkedHashMap<>() {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
                    boolean tooMany = size() > MAX_REMOVALS;
                    if (tooMany) {
                        evictedRemovalRevision =
                                Math.max(evictedRemovalRevision, eldest.getValue());
                    }
                    return tooMany;
                }
            };

    /** Times until which missing keys are kept, in ns of {@link #clockNs}. */
    private final Map<String, Long> keptUntilNs = new HashMap<>();

    private long revision;
    private long evictedRemovalRevision;

    /** Revision up to which all changes were known before keys were found missing. */
    private long keptSinceRevision;

    /** Receives changes of the content. */
    public interface Listener {

        /** A key was written. */
        void written(StoreEntry entry);

        /** A key was removed. */
        void removed(String key);

        /** The whole content has been received, for the first time or again. */
        void loaded();
    }

    /**
     * @param clockNs monotonic clock, in ns
     */
    public StoreMirror(Listener listener, LongSupplier clockNs) {
        this.listener = listener;
        this.clockNs = clockNs;
    }

    /** Returns the revision up to which all changes are known, 0 before the first read. */
    public synchronized long revision() {
        return revision;
    }

    /**
     * Returns the revision from which another mirror is asked for changes. While missing keys are
     * kept that is the one before they went missing: a mirror that had no outage knows whether they
     * were removed.
     */
    public synchronized long requestRevision() {
        return keptUntilNs.isEmpty() ? revision : Math.min(revision, keptSinceRevision);
    }

    /** Returns a number that is equal for mirrors that hold the same keys at the same revisions. */
    public synchronized long digest() {
        long digest = 0;
        for (StoreEntry entry : entries.values()) {
            digest += Objects.hash(entry.key(), entry.modRevision());
        }
        return digest;
    }

    @Override
    public synchronized void rangeRead(RangeResult range, boolean afterOutage) {
        List<String> missing = missingKeys(range);
        keepOrRemove(missing, range.revision(), afterOutage);
        range.entries().forEach(this::put);
        advanceTo(range.revision());
        listener.loaded();
    }

    private List<String> missingKeys(RangeResult range) {
        Set<String> present = new HashSet<>();
        range.entries().forEach(entry -> present.add(entry.key()));
        List<String> missing = new ArrayList<>();
        for (StoreEntry held : entries.values()) {
            if (!present.contains(held.key()) && held.modRevision() <= range.revision()) {
                missing.add(held.key());
            }
        }
        return missing;
    }

    private void keepOrRemove(List<String> missing, long atRevision, boolean keep) {
        if (keep && !missing.isEmpty() && keptUntilNs.isEmpty()) {
            keptSinceRevision = revision;
        }
        for (String key : missing) {
            if (keep) {
                long untilNs = clockNs.getAsLong() + REWRITE_GRACE_MS * NS_PER_MS;
                keptUntilNs.putIfAbsent(key, untilNs);
            } else {
                remove(key, atRevision);
            }
        }
        if (!missing.isEmpty()) {
            LOG.atInfo()
                    .addKeyValue("event", "keys_missing")
                    .addKeyValue("keys", missing)
                    .addKeyValue("revision", atRevision)
                    .addKeyValue("kept", keep)
                    .log();
        }
    }

    @Override
    public synchronized void written(StoreEntry entry) {
        put(entry);
        advanceTo(entry.modRevision());
    }

    @Override
    public synchronized void removed(String key, long atRevision) {
        remove(key, atRevision);
        advanceTo(atRevision);
    }

    @Override
    public synchronized void tick() {
        long nowNs = clockNs.getAsLong();
        for (Map.Entry<String, Long> kept : List.copyOf(keptUntilNs.entrySet())) {
            if (nowNs - kept.getValue() >= 0) {
                keptUntilNs.remove(kept.getKey());
                // The key was not written again up to this revision.
                remove(kept.getKey(), revision);
            }
        }
    }

    /**
     * One key was read on its own. The revision up to which all changes are known stays: changes of
     * other keys may be missing.
     */
    public synchronized void readOne(StoreEntry entry) {
        put(entry);
    }

    /** Merges the changes received from another mirror. */
    public synchronized void merge(MirrorChanges changes) {
        if (changes.revision() == 0) {
            // The sender has no content yet.
            return;
        }
        if (changes.snapshot()) {
            RangeResult range = new RangeResult(changes.written(), changes.revision(), false);
            // The sender has applied the grace period already.
            keepOrRemove(missingKeys(range), changes.revision(), false);
            changes.written().forEach(this::put);
            advanceTo(changes.revision());
            listener.loaded();
            return;
        }
        changes.written().forEach(this::put);
        changes.removed().forEach(removed -> remove(removed.key(), removed.revision()));
        advanceTo(changes.revision());
    }

    /**
     * Returns the changes since {@code knownRevision}.
     *
     * @param knownDigest the {@link #digest} of the requester, which is sent a snapshot if its
     *     digest differs although its revision is the same
     * @param upToDate whether this process is up to date with the service
     */
    public synchronized MirrorChanges changesSince(
            long knownRevision, long knownDigest, boolean upToDate) {
        boolean differs = knownRevision == revision && knownDigest != digest();
        boolean snapshot = differs || knownRevision < Math.max(1, evictedRemovalRevision);
        List<StoreEntry> written = new ArrayList<>();
        for (StoreEntry entry : entries.values()) {
            // Includes the known revision itself: one transaction may write several keys.
            if (snapshot || entry.modRevision() >= knownRevision) {
                written.add(entry);
            }
        }
        List<MirrorChanges.Removed> removed = new ArrayList<>();
        removalRevisions.forEach(
                (key, atRevision) -> {
                    if (!snapshot && atRevision >= knownRevision) {
                        removed.add(new MirrorChanges.Removed(key, atRevision));
                    }
                });
        return new MirrorChanges(revision, snapshot, upToDate, written, removed);
    }

    /** Waits for a revision newer than {@code knownRevision}, for at most {@code waitMs}. */
    public synchronized void awaitNewer(long knownRevision, long waitMs)
            throws InterruptedException {
        long endNs = clockNs.getAsLong() + waitMs * NS_PER_MS;
        long remainingMs = waitMs;
        while (revision <= knownRevision && remainingMs > 0) {
            wait(remainingMs);
            remainingMs = (endNs - clockNs.getAsLong()) / NS_PER_MS;
        }
    }

    private void put(StoreEntry entry) {
        StoreEntry held = entries.get(entry.key());
        Long removalRevision = removalRevisions.get(entry.key());
        boolean newer =
                (held == null || held.modRevision() < entry.modRevision())
                        && (removalRevision == null || removalRevision < entry.modRevision());
        if (newer) {
            entries.put(entry.key(), entry);
            removalRevisions.remove(entry.key());
            keptUntilNs.remove(entry.key());
            apply(entry.key(), entry.modRevision(), () -> listener.written(entry));
        }
    }

    private void remove(String key, long atRevision) {
        StoreEntry held = entries.get(key);
        if (held != null && held.modRevision() > atRevision) {
            return;
        }
        Long previous = removalRevisions.remove(key);
        removalRevisions.put(key, previous == null ? atRevision : Math.max(previous, atRevision));
        keptUntilNs.remove(key);
        if (entries.remove(key) != null) {
            apply(key, atRevision, () -> listener.removed(key));
        }
    }

    /** Has the listener apply a change; one that it cannot apply must not keep others from it. */
    private static void apply(String key, long atRevision, Runnable change) {
        try {
            change.run();
        } catch (RuntimeException e) {
            LOG.atError()
                    .addKeyValue("event", "store_change_not_applied")
                    .addKeyValue("key", key)
                    .addKeyValue("revision", atRevision)
                    .setCause(e)
                    .log();
        }
    }

    private void advanceTo(long newRevision) {
        if (newRevision > revision) {
            revision = newRevision;
            notifyAll();
        }
    }
}
