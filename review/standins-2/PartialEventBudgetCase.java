import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/**
 * A program whose sub-agents run turns in parallel. The most tokens of a turn are no multiple of
 * the tokens in an event, so the last event of each turn is a short one; it counts as a full one.
 */
final class PartialEventBudgetCase {
    private static final int TOKENS_PER_EVENT = 8;
    private static final int PARALLEL_TURNS = 8;

    private PartialEventBudgetCase() {}

    static boolean holds(Site site, boolean trouble) throws Exception {
        int mostTokens = trouble ? 9 : 16;
        int events = (mostTokens + TOKENS_PER_EVENT - 1) / TOKENS_PER_EVENT;
        long budget = (long) PARALLEL_TURNS * mostTokens;
        site.models.forEach(model -> model.setStream(events, 100));
        Thread.sleep(4000);
        List<Callable<Caller.Answer>> calls = new ArrayList<>();
        for (int agent = 1; agent <= PARALLEL_TURNS; agent++) {
            String session = "s-" + agent;
            Node entry = site.entries.get(agent % site.entries.size());
            calls.add(() -> Caller.send(site, entry, "POST", "/turn/x", 4000,
                    Turns.fields("p-agents", session, budget, mostTokens, ""), session.getBytes()));
        }
        site.log("budget " + budget + ", " + PARALLEL_TURNS + " turns at once, each of at most " + mostTokens + " tokens");
        long handedOut = 0;
        try (ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor()) {
            for (Future<Caller.Answer> call : executor.invokeAll(calls)) {
                Caller.Answer answer = call.get();
                int received = answer.text().split("data:", -1).length - 1;
                handedOut += answer.status() == 200 ? (long) received * TOKENS_PER_EVENT : 0;
                site.log(answer.requestId() + ": status " + answer.status() + ", " + received + " events");
            }
        }
        if (handedOut == 0) {
            throw new IllegalStateException("no turn was served");
        }
        // The most of one turn, rounded up to whole events.
        long bound = budget + (long) events * TOKENS_PER_EVENT;
        site.log("tokens handed out, " + TOKENS_PER_EVENT + " for each event: " + handedOut + "; bound " + bound);
        return handedOut <= bound;
    }
}
