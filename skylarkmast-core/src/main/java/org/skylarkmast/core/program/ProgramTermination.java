package org.skylarkmast.core.program;

import java.util.List;
import java.util.Optional;
import org.skylarkmast.core.config.ProgramTemplate;
import org.skylarkmast.core.journal.AppendOutcome;
import org.skylarkmast.core.key.ProgramKey;

/** Ends programs on request of their callers, and programs idle beyond their template's expiry. */
final class ProgramTermination {
    private static final long BUSY_RETRY_MS = 500;
    private static final long NS_PER_MS = 1_000_000;

    private final PartitionContext context;

    ProgramTermination(PartitionContext context) {
        this.context = context;
    }

    /** Ends a program or sub-agent for a caller, who is answered once the end is recorded. */
    void onEndRequested(long waiterId, CallerRequest request) {
        ProgramKey key = request.program();
        Optional<AgentState> agent = context.state.agent(key);
        if (agent.isEmpty()) {
            if (context.state.hasEnded(key)) {
                context.emit(waiterId, new CallerEvent.Ended(key));
            } else {
                context.refuse(
                        waiterId,
                        request,
                        RequestChecks.refusal(Refusal.Kind.NOT_FOUND, "no program " + key.id())
                                .orElseThrow());
            }
            return;
        }
        ProgramTree tree = agent.get().tree;
        if (tree.ending || isBusyAtOrBelow(tree, key)) {
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

    /** Ends programs that have been idle for longer than their template allows. */
    void expireIdle() {
        for (ProgramTree tree : List.copyOf(context.state.trees.values())) {
            long idleNs = context.nowNs - tree.lastActiveNs;
            long expiryMs =
                    context.template(tree.template)
                            .map(ProgramTemplate::idleExpiryMs)
                            .orElse(0L); // without its template, an idle program expires at once
            if (!tree.ending && !tree.isBusy() && idleNs > expiryMs * NS_PER_MS) {
                end(tree, tree.root, () -> {});
            }
        }
    }

    private void end(ProgramTree tree, ProgramKey key, Runnable onEnded) {
        boolean wholeTree = key.equals(tree.root);
        tree.ending = wholeTree;
        boolean[] applied = {false};
        context.append(
                new JournalRecord.ProgramEnded(key),
                outcome -> {
                    if (outcome instanceof AppendOutcome.Fenced || applied[0]) {
                        return;
                    }
                    applied[0] = true;
                    context.state
                            .end(key)
                            .forEach(
                                    removed ->
                                            context.addAction(
                                                    new ProgramAction.ReleaseProgram(removed)));
                    onEnded.run();
                });
    }

    private static boolean isBusyAtOrBelow(ProgramTree tree, ProgramKey key) {
        return tree.agents.values().stream()
                .filter(a -> a.key.equals(key) || a.key.id().startsWith(key.id() + "/"))
                .anyMatch(AgentState::isBusy);
    }
}
