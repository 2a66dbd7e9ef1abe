package org.skylarkmast.bench.history;

import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.skylarkmast.bench.history.HistoryIndex.Attempt;
import org.skylarkmast.bench.history.HistoryIndex.Request;
import org.skylarkmast.bench.history.HistoryRecord.CallerAnswered;
import org.skylarkmast.bench.history.HistoryRecord.TargetCall;

/** Checks each request: complete and own answer, truthful refusals, at-most-once execution. */
final class RequestRules {
    private static final Pattern WORD = Pattern.compile("(w[0-9a-f]+)-(\\d+)");

    private final HistoryIndex index;
    private final List<Violation> violations = new ArrayList<>();

    RequestRules(HistoryIndex index) {
        this.index = index;
    }

    List<Violation> check() {
        for (Request request : index.requests()) {
            checkAnswers(request);
            checkRefusals(request);
            checkAtMostOnce(request);
        }
        return violations;
    }

    private void checkAnswers(Request request) {
        String firstText = null;
        for (Attempt attempt : request.attempts()) {
            if (attempt.answer().isEmpty() && attempt.disconnection().isEmpty()) {
                add(
                        Invariant.OWN_ANSWER,
                        request,
                        attempt.sent().attempt() + " has no answer and no recorded disconnection");
            }
            if (!attempt.succeeded()) {
                continue;
            }
            CallerAnswered answer = attempt.answer().orElseThrow();
            if (request.runs().isEmpty()) {
                add(Invariant.OWN_ANSWER, request, "answered, but no target recorded a run");
            }
            if (request.isModelCall()) {
                checkComplete(request, answer);
            } else if (!answer.text().contains(request.id().key())) {
                add(
                        Invariant.OWN_ANSWER,
                        request,
                        "answer does not contain the request's key: " + answer.text());
            }
            if (firstText != null && !firstText.equals(answer.text())) {
                add(Invariant.OWN_ANSWER, request, "attempts received different answers");
            }
            firstText = answer.text();
        }
    }

    private void checkComplete(Request request, CallerAnswered answer) {
        String prefix = null;
        int expected = 0;
        for (String word : answer.text().strip().split("\\s+", -1)) {
            Matcher matcher = WORD.matcher(word);
            boolean inSequence =
                    matcher.matches() && Integer.parseInt(matcher.group(2)) == expected;
            if (!inSequence || (prefix != null && !prefix.equals(matcher.group(1)))) {
                add(
                        Invariant.OWN_ANSWER,
                        request,
                        "expected word number " + expected + ", violations " + word);
                return;
            }
            prefix = matcher.group(1);
            expected++;
        }
        int words = expected;
        boolean lengthMatches =
                request.runs().stream().anyMatch(run -> run.outputTokens() == words);
        boolean lengthKnown = request.runs().stream().anyMatch(run -> run.endMs() >= 0);
        if (lengthKnown && !lengthMatches) {
            add(
                    Invariant.OWN_ANSWER,
                    request,
                    "answer truncated: got " + words + " words, runs: " + request.runs());
        }
    }

    private void checkRefusals(Request request) {
        for (Attempt attempt : request.attempts()) {
            if (!attempt.refusedAsNotRun()) {
                continue;
            }
            for (TargetCall run : request.runs()) {
                if (!causedByOtherAttempt(request, attempt, run)) {
                    add(
                            Invariant.NOT_RUN_TRUE,
                            request,
                            attempt.sent().attempt()
                                    + " refused as not run, but the request ran at "
                                    + run.runner());
                }
            }
        }
    }

    /**
     * Whether another attempt of the request can have caused the run. This is so if the other
     * attempt was sent before the run began and the run began after the refused attempt was sent:
     * the refusal was then true at the time it was decided.
     */
    private static boolean causedByOtherAttempt(Request request, Attempt refused, TargetCall run) {
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
        violations.add(new Violation(invariant, request.id().toString(), detail));
    }
}
