package org.skylarkmast.core.program;

import java.util.List;
import java.util.Optional;
import org.skylarkmast.core.config.ProgramTemplate;
import org.skylarkmast.core.journal.AppendOutcome;
import org.skylarkmast.core.key.ProgramKey;

/** Ends programs: when their callers ask, and when they have been idle for too long. */
final class ProgramEnding {
    private static final long BUSY_RETRY_MS = 500;
    private static final long NS_PER_MS = 1_000_000;

    private final PartitionContext context;

    ProgramEnding(PartitionContext context) {
        this.context = context;
    }

    /** A caller asks for the end; answered once it is recorded. */
    void requested(long waiterId, CallerRequest request) {
        ProgramKey key = request.program();
        Optional<AgentState> agent = context.state.agent(key);
        if (agent.isEmpty()) {
            if (context.state.hasEnded(key)) {
                context.emit(waiterId, new CallerEvent.Ended(key));
            } else {
                context.refuse(
                        waiterId,
                        request,
                        RequestChecks.refuse(Refusal.Kind.NOT_FOUND, "no program " + key.id())
                                .orElseThrow());
            }
            return;
        }
        ProgramTree tree = agent.get().tree;
        if (tree.ending || busyAtOrBelow(tree, key)) {
            context.refuse(
                    waiterId,
                    request,
                    new Refusal(
                            Refusal.Kind.CONFLICT,
                            "calls of the program are under way",
                            Execution.NOT_RUN,
                            BUSY_RETRY_MS));
            return;
        }
        end(tree, key, () -> context.emit(waiterId, new CallerEvent.Ended(key)));
    }

    /** Ends what has been idle for longer than its template allows. */
    void expireIdle() {
        for (ProgramTree tree : List.copyOf(context.state.trees.values())) {
            long idleNs = context.nowNs - tree.lastActiveNs;
            long expiryMs =
                    context.template(tree.template)
                            .map(ProgramTemplate::idleExpiryMs)
                            .orElse(0L); // a deleted template takes its idle programs along
            if (!tree.ending && !tree.busy() && idleNs > expiryMs * NS_PER_MS) {
                end(tree, tree.root, () -> {});
            }
        }
    }

    private void end(ProgramTree tree, ProgramKey key, Runnable told) {
        boolean whole = key.equals(tree.root);
        tree.ending = whole;
        boolean[] done = {false};
        context.append(
                new JournalRecord.ProgramEnded(key),
                outcome -> {
                    if (outcome instanceof AppendOutcome.Fenced || done[0]) {
                        return;
                    }
                    done[0] = true;
                    context.state
                            .end(key)
                            .forEach(
                                    removed ->
                                            context.act(new ProgramAction.ReleaseProgram(removed)));
                    told.run();
                });
    }

    private static boolean busyAtOrBelow(ProgramTree tree, ProgramKey key) {
        return tree.agents.values().stream()
                .filter(a -> a.key.equals(key) || a.key.id().startsWith(key.id() + "/"))
                .anyMatch(AgentState::busy);
    }
}
