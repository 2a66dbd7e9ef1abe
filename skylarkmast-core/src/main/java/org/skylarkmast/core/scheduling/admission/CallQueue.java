package org.skylarkmast.core.scheduling.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableSet;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.ToDoubleFunction;

/**
 * The queue of one destination: ordered by priority, then by weighted fair sharing between
 * workspaces, then by rank.
 *
 * <p>Each workspace has a virtual time that grows by the service it receives divided by its weight;
 * the workspace with the smallest virtual time goes first. When an idle workspace becomes active,
 * its virtual time is raised to the minimum of the active ones, so that idle time earns no credit.
 * Not thread-safe: owned by the scheduler's event loop.
 */
public final class CallQueue {
    private final ToDoubleFunction<String> workspaceWeight;
    private final Map<Long, Entry> entries = new HashMap<>();
    private final TreeMap<Integer, Map<String, NavigableSet<Entry>>> levels =
            new TreeMap<>(Comparator.reverseOrder());
    private final Map<String, Double> virtualTimes = new HashMap<>();

    /**
     * A queued call.
     *
     * @param rank smaller goes first within its workspace and priority
     */
    public record Entry(long callId, String workspace, int priorityLevel, long rank) {}

    /** Creates an empty queue that reads the weight of a workspace from {@code workspaceWeight}. */
    public CallQueue(ToDoubleFunction<String> workspaceWeight) {
        this.workspaceWeight = workspaceWeight;
    }

    public int size() {
        return entries.size();
    }

    /** Adds a call that is not in the queue. */
    public void add(Entry entry) {
        entries.put(entry.callId(), entry);
        NavigableSet<Entry> calls =
                levels.computeIfAbsent(entry.priorityLevel(), level -> new HashMap<>())
                        .computeIfAbsent(entry.workspace(), name -> newCalls());
        if (calls.isEmpty()) {
            double floor = minActiveVirtualTime();
            virtualTimes.merge(entry.workspace(), floor, Math::max);
        }
        calls.add(entry);
    }

    /** Removes a call; returns false if it is not in the queue. */
    public boolean remove(long callId) {
        Entry entry = entries.remove(callId);
        if (entry == null) {
            return false;
        }
        Map<String, NavigableSet<Entry>> level = levels.get(entry.priorityLevel());
        NavigableSet<Entry> calls = level.get(entry.workspace());
        calls.remove(entry);
        if (calls.isEmpty()) {
            level.remove(entry.workspace());
        }
        if (level.isEmpty()) {
            levels.remove(entry.priorityLevel());
        }
        return true;
    }

    /** Charges a workspace for service; the unit must be the same for all workspaces. */
    public void charge(String workspace, double service) {
        virtualTimes.merge(
                workspace, service / workspaceWeight.applyAsDouble(workspace), Double::sum);
    }

    /**
     * The number of queued calls that would go before a call of {@code priorityLevel} submitted
     * now.
     */
    public int countAhead(int priorityLevel) {
        int count = 0;
        for (Map<String, NavigableSet<Entry>> level :
                levels.headMap(priorityLevel, true).values()) {
            for (NavigableSet<Entry> calls : level.values()) {
                count += calls.size();
            }
        }
        return count;
    }

    /** The ids of all queued calls, in no particular order. */
    public List<Long> callIds() {
        return new ArrayList<>(entries.keySet());
    }

    /** The first calls in order, at most {@code max}. */
    public List<Entry> first(int max) {
        List<Entry> result = new ArrayList<>();
        for (Map<String, NavigableSet<Entry>> level : levels.values()) {
            addInFairOrder(level, max, result);
            if (result.size() >= max) {
                break;
            }
        }
        return result;
    }

    private void addInFairOrder(
            Map<String, NavigableSet<Entry>> level, int max, List<Entry> result) {
        List<NavigableSet<Entry>> byVirtualTime = new ArrayList<>(level.values());
        byVirtualTime.sort(
                Comparator.comparingDouble(
                                (NavigableSet<Entry> calls) ->
                                        virtualTimes.get(calls.first().workspace()))
                        .thenComparing(calls -> calls.first().workspace()));
        for (NavigableSet<Entry> calls : byVirtualTime) {
            for (Entry entry : calls) {
                if (result.size() >= max) {
                    return;
                }
                result.add(entry);
            }
        }
    }

    private double minActiveVirtualTime() {
        double least = Double.POSITIVE_INFINITY;
        for (Map<String, NavigableSet<Entry>> level : levels.values()) {
            for (Map.Entry<String, NavigableSet<Entry>> calls : level.entrySet()) {
                if (!calls.getValue().isEmpty()) {
                    least = Math.min(least, virtualTimes.get(calls.getKey()));
                }
            }
        }
        return Double.isInfinite(least) ? maxVirtualTime() : least;
    }

    private double maxVirtualTime() {
        double greatest = 0;
        for (double time : virtualTimes.values()) {
            greatest = Math.max(greatest, time);
        }
        return greatest;
    }

    private static NavigableSet<Entry> newCalls() {
        return new TreeSet<>(
                Comparator.comparingLong(Entry::rank).thenComparingLong(Entry::callId));
    }
}
