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
import org.skylarkmast.bench.history.HistoryRecord.TargetCall;

/** Checks each program: order of calls, history and budget. */
final class ProgramRules {
    /** Tokens that the engine stand-in counts for each message in addition to its words. */
    private static final long TOKENS_PER_MESSAGE = 4;

    private final HistoryIndex index;
    private final AnswerRule answerRule;
    private final List<Violation> violations = new ArrayList<>();

    ProgramRules(HistoryIndex index, AnswerRule answerRule) {
        this.index = index;
        this.answerRule = answerRule;
    }

    List<Violation> check() {
        answeredByProgram().forEach(this::checkOrder);
        index.all(HistoryRead.class).forEach(this::checkHistory);
        index.all(BudgetLimit.class).forEach(this::checkBudget);
        return violations;
    }

    private Map<String, List<Request>> answeredByProgram() {
        Map<String, List<Request>> byProgram = new TreeMap<>();
        for (Request request : index.requests()) {
            if (request.isModelCall() && request.success().isPresent()) {
                byProgram
                        .computeIfAbsent(request.id().program(), key -> new ArrayList<>())
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
            add(Invariant.PROGRAM_ORDER, program, "two requests have turn number " + turn(later));
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
        for (TargetCall run : earlier.runs()) {
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
                        .mapToLong(TargetCall::endMs)
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
        return request.runs().stream().mapToLong(TargetCall::atMs).min().orElse(Long.MAX_VALUE);
    }

    private void checkHistory(HistoryRead read) {
        List<Request> answered = answeredByProgram().getOrDefault(read.program(), List.of());
        Map<String, Integer> positions = new HashMap<>();
        for (int i = 0; i < read.messages().size(); i++) {
            Message message = read.messages().get(i);
            if (message.role().equals("user") && positions.put(message.content(), i) != null) {
                add(
                        Invariant.HISTORY_KEPT,
                        read.program(),
                        "duplicate user message: " + message.content());
            }
        }
        checkNoForeignMessages(read);
        int previousPosition = -1;
        for (Request request : answered) {
            String userMessage = request.attempts().getFirst().sent().text();
            Integer position = positions.get(userMessage);
            if (position == null) {
                add(Invariant.HISTORY_KEPT, read.program(), "user message lost: " + userMessage);
                continue;
            }
            if (position <= previousPosition) {
                add(
                        Invariant.HISTORY_KEPT,
                        read.program(),
                        "user message out of order: " + userMessage);
            }
            previousPosition = position;
            checkAnswer(read, position, request);
        }
    }

    private void checkAnswer(HistoryRead read, int position, Request request) {
        CallerAnswered answer = request.success().orElseThrow();
        List<Message> prompt = read.messages().subList(0, position + 1);
        boolean answerFollows =
                position + 1 < read.messages().size()
                        && read.messages()
                                .get(position + 1)
                                .content()
                                .strip()
                                .equals(answer.text().strip());
        if (!answerFollows) {
            add(
                    Invariant.HISTORY_KEPT,
                    read.program(),
                    "answer missing or changed at message " + (position + 1));
        }
        if (!answer.text().startsWith(answerRule.wordPrefix(prompt) + "-")) {
            add(
                    Invariant.HISTORY_KEPT,
                    read.program(),
                    "answer at message "
                            + (position + 1)
                            + " was generated from a different prompt");
        }
        long tokens = prompt.stream().mapToLong(ProgramRules::tokens).sum();
        if (request.runs().stream().noneMatch(run -> run.promptTokens() == tokens)) {
            add(
                    Invariant.HISTORY_KEPT,
                    read.program(),
                    "no target recorded a run with "
                            + tokens
                            + " prompt tokens for "
                            + request.id().key());
        }
    }

    private void checkNoForeignMessages(HistoryRead read) {
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
                add(
                        Invariant.HISTORY_KEPT,
                        read.program(),
                        "user message of another program: " + message.content());
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
        for (TargetCall run : index.all(TargetCall.class)) {
            boolean own =
                    run.program().equals(limit.program())
                            || run.program().startsWith(limit.program() + "/");
            if (own) {
                tokens += run.promptTokens() + run.outputTokens();
                serviceCalls += run.kind() == HistoryRecord.Kind.SERVICE ? 1 : 0;
            }
        }
        if (tokens > limit.tokens()) {
            add(Invariant.BUDGET, limit.program(), tokens + " tokens used of " + limit.tokens());
        }
        if (serviceCalls > limit.serviceCalls()) {
            add(
                    Invariant.BUDGET,
                    limit.program(),
                    serviceCalls + " service calls made of " + limit.serviceCalls());
        }
    }

    private void add(Invariant invariant, String program, String detail) {
        violations.add(new Violation(invariant, program, detail));
    }
}
