package org.skylarkmast.bench.history;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.skylarkmast.bench.history.HistoryIndex.Attempt;
import org.skylarkmast.bench.history.HistoryIndex.Request;
import org.skylarkmast.bench.history.HistoryRecord.BudgetLimit;
import org.skylarkmast.bench.history.HistoryRecord.CallerAnswered;
import org.skylarkmast.bench.history.HistoryRecord.HistoryRead;
import org.skylarkmast.bench.history.HistoryRecord.Message;
import org.skylarkmast.bench.history.HistoryRecord.TargetSaw;

/** The rules that concern one program: order, history and budget. */
final class ProgramRules {
    /** Tokens that the engine stand-in counts for each message beside its words. */
    private static final long TOKENS_PER_MESSAGE = 4;

    private final HistoryIndex index;
    private final AnswerRule answerRule;
    private final List<Violation> found = new ArrayList<>();

    ProgramRules(HistoryIndex index, AnswerRule answerRule) {
        this.index = index;
        this.answerRule = answerRule;
    }

    List<Violation> check() {
        answeredByProgram().forEach(this::checkOrder);
        index.all(HistoryRead.class).forEach(this::checkHistory);
        index.all(BudgetLimit.class).forEach(this::checkBudget);
        return found;
    }

    private Map<String, List<Request>> answeredByProgram() {
        Map<String, List<Request>> byProgram = new TreeMap<>();
        for (Request request : index.requests()) {
            if (request.model() && request.success().isPresent()) {
                byProgram
                        .computeIfAbsent(request.id().program(), p -> new ArrayList<>())
                        .add(request);
            }
        }
        byProgram.values().forEach(list -> list.sort(Comparator.comparingInt(this::turn)));
        return byProgram;
    }

    private int turn(Request request) {
        return request.success().orElseThrow().turn();
    }

    private void checkOrder(String program, List<Request> byTurn) {
        for (int i = 0; i < byTurn.size(); i++) {
            for (Request later : byTurn.subList(i + 1, byTurn.size())) {
                checkPair(program, byTurn.get(i), later);
            }
        }
    }

    private void checkPair(String program, Request earlier, Request later) {
        if (turn(earlier) == turn(later)) {
            add(Invariant.PROGRAM_ORDER, program, "two requests became turn " + turn(later));
            return;
        }
        if (later.firstSuccessMs() < earlier.attempts().getFirst().sent().atMs()) {
            add(
                    Invariant.PROGRAM_ORDER,
                    program,
                    "turn " + turn(later) + " was answered before " + turn(earlier) + " was sent");
        }
        checkRunsInOrder(program, earlier, later);
    }

    private void checkRunsInOrder(String program, Request earlier, Request later) {
        long firstLaterMs = firstStartMs(later);
        for (TargetSaw run : earlier.runs()) {
            if (run.atMs() > firstLaterMs) {
                add(
                        Invariant.PROGRAM_ORDER,
                        program,
                        "turn " + turn(earlier) + " began after turn " + turn(later));
            }
        }
        long firstEndMs =
                earlier.runs().stream()
                        .filter(run -> run.endMs() >= 0)
                        .mapToLong(TargetSaw::endMs)
                        .min()
                        .orElse(Long.MIN_VALUE);
        if (firstLaterMs < firstEndMs) {
            add(
                    Invariant.PROGRAM_ORDER,
                    program,
                    "turn " + turn(later) + " began before turn " + turn(earlier) + " ended");
        }
    }

    private static long firstStartMs(Request request) {
        return request.runs().stream().mapToLong(TargetSaw::atMs).min().orElse(Long.MAX_VALUE);
    }

    private void checkHistory(HistoryRead read) {
        List<Request> answered = answeredByProgram().getOrDefault(read.program(), List.of());
        Map<String, Integer> places = new HashMap<>();
        for (int i = 0; i < read.messages().size(); i++) {
            Message message = read.messages().get(i);
            if (message.role().equals("user") && places.put(message.content(), i) != null) {
                add(Invariant.HISTORY_KEPT, read.program(), "twice: " + message.content());
            }
        }
        checkNothingMixedIn(read);
        int previous = -1;
        for (Request request : answered) {
            String asked = request.attempts().getFirst().sent().text();
            Integer place = places.get(asked);
            if (place == null) {
                add(Invariant.HISTORY_KEPT, read.program(), "lost: " + asked);
                continue;
            }
            if (place <= previous) {
                add(Invariant.HISTORY_KEPT, read.program(), "out of order: " + asked);
            }
            previous = place;
            checkAnswer(read, place, request);
        }
    }

    private void checkAnswer(HistoryRead read, int place, Request request) {
        CallerAnswered answer = request.success().orElseThrow();
        List<Message> prompt = read.messages().subList(0, place + 1);
        boolean kept =
                place + 1 < read.messages().size()
                        && read.messages()
                                .get(place + 1)
                                .content()
                                .strip()
                                .equals(answer.text().strip());
        if (!kept) {
            add(Invariant.HISTORY_KEPT, read.program(), "answer lost at " + (place + 1));
        }
        if (!answer.text().startsWith(answerRule.mark(prompt) + "-")) {
            add(
                    Invariant.HISTORY_KEPT,
                    read.program(),
                    "answer " + (place + 1) + " was made from another prompt");
        }
        long tokens = prompt.stream().mapToLong(ProgramRules::tokens).sum();
        if (request.runs().stream().noneMatch(run -> run.promptTokens() == tokens)) {
            add(
                    Invariant.HISTORY_KEPT,
                    read.program(),
                    "no target saw the " + tokens + " prompt tokens of " + request.id().key());
        }
    }

    private void checkNothingMixedIn(HistoryRead read) {
        Set<String> own = new HashSet<>();
        for (Request request : index.requests()) {
            if (request.id().program().equals(read.program())) {
                for (Attempt attempt : request.attempts()) {
                    own.add(attempt.sent().text());
                }
            }
        }
        for (Message message : read.messages()) {
            if (message.role().equals("user") && !own.contains(message.content())) {
                add(Invariant.HISTORY_KEPT, read.program(), "not its own: " + message.content());
            }
        }
    }

    private static long tokens(Message message) {
        String text = message.content().strip();
        return TOKENS_PER_MESSAGE + (text.isEmpty() ? 0 : text.split("\\s+", -1).length);
    }

    private void checkBudget(BudgetLimit limit) {
        long tokens = 0;
        int serviceCalls = 0;
        for (TargetSaw run : index.all(TargetSaw.class)) {
            boolean own =
                    run.program().equals(limit.program())
                            || run.program().startsWith(limit.program() + "/");
            if (own) {
                tokens += run.promptTokens() + run.outputTokens();
                serviceCalls += run.kind() == HistoryRecord.Kind.SERVICE ? 1 : 0;
            }
        }
        if (tokens > limit.tokens()) {
            add(Invariant.BUDGET, limit.program(), tokens + " tokens of " + limit.tokens());
        }
        if (serviceCalls > limit.serviceCalls()) {
            add(
                    Invariant.BUDGET,
                    limit.program(),
                    serviceCalls + " service calls of " + limit.serviceCalls());
        }
    }

    private void add(Invariant invariant, String program, String detail) {
        found.add(new Violation(invariant, program, detail));
    }
}
