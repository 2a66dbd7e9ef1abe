package org.skylarkmast.bench.history;

import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.skylarkmast.bench.history.HistoryIndex.Attempt;
import org.skylarkmast.bench.history.HistoryIndex.Request;
import org.skylarkmast.bench.history.HistoryRecord.CallerAnswered;
import org.skylarkmast.bench.history.HistoryRecord.TargetSaw;

/** The rules that concern one request: own answer, honest refusals, at most once. */
final class CallRules {
    private static final Pattern WORD = Pattern.compile("(w[0-9a-f]+)-(\\d+)");

    private final HistoryIndex index;
    private final List<Violation> found = new ArrayList<>();

    CallRules(HistoryIndex index) {
        this.index = index;
    }

    List<Violation> check() {
        for (Request request : index.requests()) {
            checkAnswers(request);
            checkRefusals(request);
            checkAtMostOnce(request);
        }
        return found;
    }

    private void checkAnswers(Request request) {
        String first = null;
        for (Attempt attempt : request.attempts()) {
            if (attempt.answer().isEmpty() && attempt.cut().isEmpty()) {
                add(Invariant.OWN_ANSWER, request, attempt.sent().attempt() + " got no answer");
            }
            if (!attempt.succeeded()) {
                continue;
            }
            CallerAnswered answer = attempt.answer().orElseThrow();
            if (request.runs().isEmpty()) {
                add(Invariant.OWN_ANSWER, request, "answered, yet no target ran it");
            }
            if (request.model()) {
                checkWhole(request, answer);
            } else if (!answer.text().contains(request.id().key())) {
                add(Invariant.OWN_ANSWER, request, "another's answer: " + answer.text());
            }
            if (first != null && !first.equals(answer.text())) {
                add(Invariant.OWN_ANSWER, request, "attempts got different answers");
            }
            first = answer.text();
        }
    }

    private void checkWhole(Request request, CallerAnswered answer) {
        String mark = null;
        int expected = 0;
        for (String word : answer.text().strip().split("\\s+", -1)) {
            Matcher matcher = WORD.matcher(word);
            boolean next = matcher.matches() && Integer.parseInt(matcher.group(2)) == expected;
            if (!next || (mark != null && !mark.equals(matcher.group(1)))) {
                add(Invariant.OWN_ANSWER, request, "word " + expected + " is " + word);
                return;
            }
            mark = matcher.group(1);
            expected++;
        }
        int words = expected;
        boolean asLong = request.runs().stream().anyMatch(run -> run.outputTokens() == words);
        boolean known = request.runs().stream().anyMatch(run -> run.endMs() >= 0);
        if (known && !asLong) {
            add(Invariant.OWN_ANSWER, request, "cut: " + words + " words of " + request.runs());
        }
    }

    private void checkRefusals(Request request) {
        for (Attempt attempt : request.attempts()) {
            if (!attempt.refusedAsNotRun()) {
                continue;
            }
            for (TargetSaw run : request.runs()) {
                if (!explainedByAnother(request, attempt, run)) {
                    add(
                            Invariant.NOT_RUN_TRUE,
                            request,
                            attempt.sent().attempt()
                                    + " refused as not run, but ran at "
                                    + run.runner());
                }
            }
        }
    }

    /**
     * Whether another attempt of the request caused the run: it was under way when the run began,
     * and the run began after the refused attempt was sent, so the refusal was true when decided.
     */
    private static boolean explainedByAnother(Request request, Attempt refused, TargetSaw run) {
        if (run.atMs() < refused.sent().atMs()) {
            return false;
        }
        return request.attempts().stream()
                .filter(other -> !other.equals(refused) && !other.refusedAsNotRun())
                .anyMatch(other -> other.sent().atMs() <= run.atMs());
    }

    private void checkAtMostOnce(Request request) {
        if (!request.repeatable() && request.runs().size() > 1) {
            add(Invariant.AT_MOST_ONCE, request, "ran " + request.runs().size() + " times");
        }
    }

    private void add(Invariant invariant, Request request, String detail) {
        found.add(new Violation(invariant, request.id().toString(), detail));
    }
}
