package org.skylarkmast.bench.history;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.skylarkmast.bench.history.HistoryRecord.CallerAnswered;
import org.skylarkmast.bench.history.HistoryRecord.CallerCut;
import org.skylarkmast.bench.history.HistoryRecord.CallerSent;
import org.skylarkmast.bench.history.HistoryRecord.TargetSaw;

/** A history's records, grouped by request and ordered by time. */
final class HistoryIndex {
    private final List<HistoryRecord> ordered;
    private final Map<RequestKey, Request> requests = new TreeMap<>();

    HistoryIndex(List<HistoryRecord> records) {
        ordered = new ArrayList<>(records);
        ordered.sort(Comparator.comparingLong(HistoryRecord::atMs));
        Map<String, CallerAnswered> answers = new HashMap<>();
        all(CallerAnswered.class).forEach(answer -> answers.put(answer.attempt(), answer));
        Map<String, CallerCut> cuts = new HashMap<>();
        all(CallerCut.class).forEach(cut -> cuts.put(cut.attempt(), cut));
        for (CallerSent sent : all(CallerSent.class)) {
            request(sent.program(), sent.key())
                    .attempts
                    .add(
                            new Attempt(
                                    sent,
                                    Optional.ofNullable(answers.get(sent.attempt())),
                                    Optional.ofNullable(cuts.get(sent.attempt()))));
        }
        all(TargetSaw.class).forEach(saw -> request(saw.program(), saw.key()).runs.add(saw));
    }

    private Request request(String program, String key) {
        return requests.computeIfAbsent(
                new RequestKey(program, key),
                id -> new Request(id, new ArrayList<>(), new ArrayList<>()));
    }

    /** All records of a type, by time. */
    <T extends HistoryRecord> List<T> all(Class<T> type) {
        return ordered.stream().filter(type::isInstance).map(type::cast).toList();
    }

    /** All requests. */
    List<Request> requests() {
        return List.copyOf(requests.values());
    }

    /** Whether {@code subject} was under a fault at some time between the two. */
    boolean faulty(String subject, long fromMs, long toMs) {
        boolean open = false;
        for (HistoryRecord record : ordered) {
            if (record.atMs() > toMs) {
                break;
            }
            switch (record) {
                case HistoryRecord.FaultStarted fault when fault.subject().equals(subject) -> {
                    open = true;
                    if (fault.atMs() >= fromMs) {
                        return true;
                    }
                }
                case HistoryRecord.FaultEnded fault when fault.subject().equals(subject) -> {
                    if (open && fault.atMs() >= fromMs) {
                        return true;
                    }
                    open = false;
                }
                default -> {}
            }
        }
        return open;
    }

    /** Whether any fault started before {@code toMs}. */
    boolean anyFaultBefore(long toMs) {
        return all(HistoryRecord.FaultStarted.class).stream().anyMatch(f -> f.atMs() <= toMs);
    }

    /** Identity of a request over all of its attempts. */
    record RequestKey(String program, String key) implements Comparable<RequestKey> {
        @Override
        public int compareTo(RequestKey other) {
            int byProgram = program.compareTo(other.program);
            return byProgram != 0 ? byProgram : key.compareTo(other.key);
        }

        @Override
        public String toString() {
            return program + " " + key;
        }
    }

    /** One sending of a request with what came of it. */
    record Attempt(CallerSent sent, Optional<CallerAnswered> answer, Optional<CallerCut> cut) {

        boolean succeeded() {
            return answer.isPresent() && answer.get().succeeded();
        }

        boolean refusedAsNotRun() {
            return answer.isPresent()
                    && answer.get().execution() == HistoryRecord.Execution.NOT_RUN;
        }
    }

    /** A request: its attempts and its runs at targets, each by time. */
    record Request(RequestKey id, List<Attempt> attempts, List<TargetSaw> runs) {

        Optional<CallerAnswered> success() {
            return attempts.stream()
                    .filter(Attempt::succeeded)
                    .map(attempt -> attempt.answer().orElseThrow())
                    .findFirst();
        }

        boolean model() {
            return !attempts.isEmpty()
                    && attempts.getFirst().sent().kind() == HistoryRecord.Kind.MODEL;
        }

        boolean repeatable() {
            return attempts.isEmpty() || attempts.getFirst().sent().repeatable();
        }

        /** Time of the first success, or the longest time if there was none. */
        long firstSuccessMs() {
            return success().map(CallerAnswered::atMs).orElse(Long.MAX_VALUE);
        }
    }
}
