package org.skylarkmast.standins;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.skylarkmast.http.HttpReply;
import org.skylarkmast.http.ServerRequest;

/**
 * Refuses senders whose epoch is older than one already seen, where the target checks; thread-safe.
 *
 * <p>Epochs of different subjects are not compared: each program has its owner, and orders theirs.
 */
public final class EpochCheck {

    /** Header that carries the sender's epoch. */
    public static final String EPOCH_HEADER = "skylarkmast-epoch";

    /** Header that names the program, {@code workspace:id}. */
    public static final String PROGRAM_HEADER = "skylarkmast-program";

    /** Subjects remembered; of the longest unused an old epoch is no longer noticed. */
    private static final int MAX_SUBJECTS = 100_000;

    private final boolean checks;
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
     * @param checks whether old epochs are refused at all
     */
    public EpochCheck(boolean checks) {
        this.checks = checks;
    }

    /** The refusal of a call for a program, if its epoch is stale. */
    public Optional<HttpReply> refuseCall(ServerRequest call) {
        String program = call.header(PROGRAM_HEADER).orElse("");
        int slash = program.indexOf('/');
        return refuse(slash < 0 ? program : program.substring(0, slash), call);
    }

    /** The refusal of a call about {@code subject}, if its epoch is stale. */
    public Optional<HttpReply> refuse(String subject, ServerRequest call) {
        OptionalLong higher = higherThan(subject, epoch(call));
        if (higher.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(
                HttpReply.json(409, StandInJson.write(Map.of("highestEpoch", higher.getAsLong()))));
    }

    /** The highest epoch seen for {@code subject}, or 0. */
    public synchronized long highest(String subject) {
        return highestBySubject.getOrDefault(subject, 0L);
    }

    /** The epoch that {@code call} carries, or 0. */
    public static long epoch(ServerRequest call) {
        return call.header(EPOCH_HEADER).map(EpochCheck::parse).orElse(0L);
    }

    private synchronized OptionalLong higherThan(String subject, long epoch) {
        long highest = highestBySubject.merge(subject, epoch, Math::max);
        return checks && epoch < highest ? OptionalLong.of(highest) : OptionalLong.empty();
    }

    private static long parse(String text) {
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException e) {
            return 0;
        }
    }
}
