package org.skylarkmast.bench.history;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.skylarkmast.bench.history.HistoryRecord.CallerAnswered;
import org.skylarkmast.bench.history.HistoryRecord.CallerDisconnected;
import org.skylarkmast.bench.history.HistoryRecord.CallerSent;
import org.skylarkmast.bench.history.HistoryRecord.TargetCall;

/** A history's records, grouped by request and ordered by time. */
final class HistoryIndex {
    private final List<HistoryRecord> ordered;
    private final Map<RequestKey, Request> requests = new TreeMap<>();

    HistoryIndex(List<HistoryRecord> records) {
        ordered = new ArrayList<>(records);
        ordered.sort(Comparator.comparingLong(HistoryRecord::atMs));
        Map<String, CallerAnswered> answers = new HashMap<>();
        all(CallerAnswered.class).forEach(answer -> answers.put(answer.attempt(), answer));
        Map<String, CallerDisconnected> disconnections = new HashMap<>();
        all(CallerDisconnected.class)
                .forEach(
                        disconnection ->
                                disconnections.put(disconnection.attempt(), disconnection));
        for (CallerSent sent : all(CallerSent.class)) {
            request(sent.program(), sent.key())
                    .attempts
                    .add(
                            new Attempt(
                                    sent,
                                    Optional.ofNullable(answers.get(sent.attempt())),
                                    Optional.ofNullable(disconnections.get(sent.attempt()))));
        }
        all(TargetCall.class).forEach(run -> request(run.program(), run.key()).runs.add(run));
    }

    private Request request(String program, String key) {
        return requests.computeIfAbsent(
                new RequestKey(program, key),
                id -> new Request(id, new ArrayList<>(), new ArrayList<>()));
    }

    /** Returns all records of a type, ordered by time. */
    <T extends HistoryRecord> List<T> all(Class<T> type) {
        return ordered.stream().filter(type::isInstance).map(type::cast).toList();
    }

    List<Request> requests() {
        return List.copyOf(requests.values());
    }

    /** Whether a fault of {@code subject} was active at any time in the given interval. */
    boolean hadFault(String subject, long fromMs, long toMs) {
        boolean active = false;
        for (HistoryRecord record : ordered) {
            if (record.atMs() > toMs) {
                break;
            }
            switch (record) {
                case HistoryRecord.FaultStarted fault when fault.subject().equals(subject) -> {
                    active = true;
                    if (fault.atMs() >= fromMs) {
                        return true;
                    }
                }
                case HistoryRecord.FaultEnded fault when fault.subject().equals(subject) -> {
                    if (active && fault.atMs() >= fromMs) {
                        return true;
                    }
                    active = false;
                }
                default -> {}
            }
        }
        return active;
    }

    /** Whether any fault started at or before {@code toMs}. */
    boolean anyFaultBefore(long toMs) {
        return all(HistoryRecord.FaultStarted.class).stream()
                .anyMatch(fault -> fault.atMs() <= toMs);
    }

    /** Identity of a request, shared by all of its attempts. */
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

    /** One attempt at a request, with its answer or the loss of its connection. */
    record Attempt(
            CallerSent sent,
            Optional<CallerAnswered> answer,
            Optional<CallerDisconnected> disconnection) {

        boolean succeeded() {
            return answer.isPresent() && answer.get().succeeded();
        }

        boolean refusedAsNotRun() {
            return answer.isPresent()
                    && answer.get().execution() == HistoryRecord.Execution.NOT_RUN;
        }
    }

    /** A request with its attempts and its runs at targets, each ordered by time. */
    record Request(RequestKey id, List<Attempt> attempts, List<TargetCall> runs) {

        Optional<CallerAnswered> success() {
            return attempts.stream()
                    .filter(Attempt::succeeded)
                    .map(attempt -> attempt.answer().orElseThrow())
                    .findFirst();
        }

        boolean isModelCall() {
            return !attempts.isEmpty()
                    && attempts.getFirst().sent().kind() == HistoryRecord.Kind.MODEL;
        }

        boolean repeatable() {
            return attempts.isEmpty() || attempts.getFirst().sent().repeatable();
        }

        /** Time of the first success, or {@link Long#MAX_VALUE} if there was none. */
        long firstSuccessMs() {
            return success().map(CallerAnswered::atMs).orElse(Long.MAX_VALUE);
        }
    }
}
