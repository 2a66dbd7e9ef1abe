package org.skylarkmast.core.program;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.skylarkmast.core.config.Budget;
import org.skylarkmast.core.config.Configuration;
import org.skylarkmast.core.config.Model;
import org.skylarkmast.core.config.ProgramTemplate;
import org.skylarkmast.core.config.Target;
import org.skylarkmast.core.journal.Journal;
import org.skylarkmast.core.json.JsonUtil;

/** Checks requests against the current configuration and bounds their tokens. Pure functions. */
final class RequestChecks {

    /**
     * Tokens that a message may cost in addition to its text, for role and separators. A larger
     * value wastes budget on reservations; a smaller one may let a call exceed its reservation.
     */
    private static final int MESSAGE_OVERHEAD_TOKENS = 8;

    /** Maximum size of a turn's new messages; leaves room for the answer in its journal record. */
    static final int MAX_TURN_BYTES = Journal.MAX_RECORD_BYTES / 2;

    /** Typical length of a token in running text. */
    private static final int BYTES_PER_TOKEN = 4;

    private RequestChecks() {}

    /** Returns why the request cannot be served under {@code template}; empty if it can. */
    static Optional<Refusal> check(
            CallerRequest request, ProgramTemplate template, Configuration configuration) {
        if (!template.workspace().equals(request.program().workspace())) {
            return refusal(Refusal.Kind.NOT_FOUND, "no template " + request.template());
        }
        if (request.program().depth() > template.maxSubAgentDepth()) {
            return refusal(
                    Refusal.Kind.INVALID,
                    "sub-agents go at most " + template.maxSubAgentDepth() + " levels deep");
        }
        return switch (request.operation()) {
            case Operation.ModelTurn turn -> checkModel(turn, template, configuration);
            case Operation.ServiceCall call -> checkService(call, template, configuration);
            case Operation.EndProgram ignored -> Optional.empty();
            case Operation.ReadProgram ignored -> Optional.empty();
        };
    }

    private static Optional<Refusal> checkModel(
            Operation.ModelTurn turn, ProgramTemplate template, Configuration configuration) {
        if (!template.models().contains(turn.model())
                || !configuration.models().containsKey(turn.model())) {
            return refusal(Refusal.Kind.NOT_FOUND, "no model " + turn.model());
        }
        if (turn.messages().isEmpty()) {
            return refusal(Refusal.Kind.INVALID, "messages must not be empty");
        }
        if (JsonUtil.toBytes(turn).length > MAX_TURN_BYTES) {
            return refusal(
                    Refusal.Kind.INVALID,
                    "the messages of a turn may have " + MAX_TURN_BYTES + " bytes as JSON");
        }
        if (turn.maxTokens() < 0) {
            return refusal(Refusal.Kind.INVALID, "max_tokens must not be negative");
        }
        return Optional.empty();
    }

    private static Optional<Refusal> checkService(
            Operation.ServiceCall call, ProgramTemplate template, Configuration configuration) {
        Target target = configuration.targets().get(call.target());
        if (target == null
                || target.kind() != Target.Kind.PLAIN_SERVICE
                || !template.services().contains(call.target())) {
            return refusal(Refusal.Kind.NOT_FOUND, "no service " + call.target());
        }
        if (findOperation(call, target).isEmpty()) {
            return refusal(
                    Refusal.Kind.NOT_FOUND,
                    "service " + call.target() + " has no " + call.method() + " " + call.path());
        }
        return Optional.empty();
    }

    /** Returns the target's declared operation that {@code call} invokes. */
    static Optional<Target.Operation> findOperation(Operation.ServiceCall call, Target target) {
        String path = call.path().split("\\?", 2)[0];
        return target.operations().stream()
                .filter(op -> op.method().equals(call.method()) && pathMatches(op.path(), path))
                .findFirst();
    }

    /** Whether a service call may be sent more than once; false for an undeclared operation. */
    static boolean isRepeatable(Operation.ServiceCall call, Configuration configuration) {
        Target target = configuration.targets().get(call.target());
        return target != null
                && findOperation(call, target).map(Target.Operation::repeatable).orElse(false);
    }

    /** Upper bound of the tokens of {@code messages}: no token is shorter than a byte. */
    static int maxMessageTokens(List<Message> messages) {
        long bound = 0;
        for (Message message : messages) {
            bound += message.content().getBytes(StandardCharsets.UTF_8).length;
            bound += MESSAGE_OVERHEAD_TOKENS;
        }
        return (int) Math.min(Integer.MAX_VALUE, bound);
    }

    /**
     * Upper bound of the prompt tokens of the agent's next turn. If the last turn used the same
     * model, the token count that the model reported replaces the bound for the history.
     */
    static int maxPromptTokens(AgentState agent, Operation.ModelTurn turn) {
        int added = maxMessageTokens(turn.messages());
        if (agent.turns.isEmpty()) {
            return added;
        }
        TurnSummary last = agent.turns.getLast().summary();
        if (!last.model().equals(turn.model())) {
            return added + maxMessageTokens(agent.history());
        }
        return last.promptTokens() + last.outputTokens() + MESSAGE_OVERHEAD_TOKENS + added;
    }

    /** Estimated prompt length in tokens; for predictions only, not an upper bound. */
    static int estimatePromptTokens(AgentState agent, Operation.ModelTurn turn) {
        int added = 1 + maxMessageTokens(turn.messages()) / BYTES_PER_TOKEN;
        if (agent.turns.isEmpty()) {
            return added;
        }
        TurnSummary last = agent.turns.getLast().summary();
        return last.promptTokens() + last.outputTokens() + added;
    }

    /** Maximum number of tokens of the answer. */
    static int maxOutputTokens(Operation.ModelTurn turn, Model model) {
        return turn.maxTokens() == 0
                ? model.maxOutputTokens()
                : Math.min(turn.maxTokens(), model.maxOutputTokens());
    }

    /** The budget of a template's programs; an empty one if it is not configured. */
    static Budget budgetOf(ProgramTemplate template, Configuration configuration) {
        Budget budget = configuration.budgets().get(template.budget());
        return budget == null ? new Budget(template.budget(), 0, 0, 1) : budget;
    }

    static Optional<Refusal> refusal(Refusal.Kind kind, String detail) {
        return Optional.of(new Refusal(kind, detail, Execution.NOT_RUN, 0));
    }

    private static boolean pathMatches(String declared, String path) {
        return path.equals(declared) || path.startsWith(declared + "/");
    }
}
