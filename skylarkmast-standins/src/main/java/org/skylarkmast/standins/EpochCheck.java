package org.skylarkmast.standins;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.skylarkmast.http.HttpReply;
import org.skylarkmast.http.ServerRequest;

/**
 * Rejects calls whose epoch is lower than one already seen, if the check is enabled. Thread-safe.
 *
 * <p>Epochs of different subjects are not compared: each program has an owner of its own, and so do
 * the orders to an engine.
 */
public final class EpochCheck {

    /** Header with the epoch of the sender. */
    public static final String EPOCH_HEADER = "skylarkmast-epoch";

    /** Header with the program, {@code workspace:id}. */
    public static final String PROGRAM_HEADER = "skylarkmast-program";

    /**
     * Subjects kept; beyond it the least recently used is evicted, and a stale epoch of it is
     * accepted.
     */
    private static final int MAX_SUBJECTS = 100_000;

    private final boolean enabled;
    private final Map<String, Long> highestBySubject =
            new LinkedHashMap<>(16, 0.75f, true) {
                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
                    return size() > MAX_SUBJECTS;
                }
            };

    /**
     * Creates a check.
     *
     * @param enabled whether calls with a stale epoch are rejected
     */
    public EpochCheck(boolean enabled) {
        this.enabled = enabled;
    }

    /** Returns the rejection of a call for a program if its epoch is stale. */
    public Optional<HttpReply> rejectStaleCall(ServerRequest call) {
        String program = call.header(PROGRAM_HEADER).orElse("");
        int slash = program.indexOf('/');
        return rejectStale(slash < 0 ? program : program.substring(0, slash), call);
    }

    /** Returns the rejection of a call concerning {@code subject} if its epoch is stale. */
    public Optional<HttpReply> rejectStale(String subject, ServerRequest call) {
        OptionalLong highestEpoch = highestIfStale(subject, epoch(call));
        if (highestEpoch.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(
                HttpReply.json(
                        409, StandInJson.write(Map.of("highestEpoch", highestEpoch.getAsLong()))));
    }

    /** Returns the highest epoch seen for {@code subject}, or 0. */
    public synchronized long highest(String subject) {
        return highestBySubject.getOrDefault(subject, 0L);
    }

    /** Returns the epoch in the header of {@code call}, or 0 if it is missing or not a number. */
    public static long epoch(ServerRequest call) {
        return call.header(EPOCH_HEADER).map(EpochCheck::parse).orElse(0L);
    }

    private synchronized OptionalLong highestIfStale(String subject, long epoch) {
        long highest = highestBySubject.merge(subject, epoch, Math::max);
        return enabled && epoch < highest ? OptionalLong.of(highest) : OptionalLong.empty();
    }

    private static long parse(String text) {
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException e) {
            return 0;
        }
    }
}
