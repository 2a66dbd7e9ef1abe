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

/** Checks of a request against the objects in force. Pure functions. */
final class RequestChecks {

    /**
     * Tokens that a message may cost beside its text, for role and separators; larger wastes budget
     * on reservations, smaller may let a call exceed its reservation.
     */
    private static final int MESSAGE_OVERHEAD_TOKENS = 8;

    /** Largest new messages of a turn; leaves room for the answer in its journal record. */
    static final int MAX_TURN_BYTES = Journal.MAX_RECORD_BYTES / 2;

    /** Usual length of a token in running text. */
    private static final int BYTES_PER_TOKEN = 4;

    private RequestChecks() {}

    /** Why the request cannot be served under {@code template}, if it cannot. */
    static Optional<Refusal> check(
            CallerRequest request, ProgramTemplate template, Configuration configuration) {
        if (!template.workspace().equals(request.program().workspace())) {
            return refuse(Refusal.Kind.NOT_FOUND, "no template " + request.template());
        }
        if (request.program().depth() > template.maxSubAgentDepth()) {
            return refuse(
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
            return refuse(Refusal.Kind.NOT_FOUND, "no model " + turn.model());
        }
        if (turn.messages().isEmpty()) {
            return refuse(Refusal.Kind.INVALID, "messages must not be empty");
        }
        if (JsonUtil.toBytes(turn).length > MAX_TURN_BYTES) {
            return refuse(
                    Refusal.Kind.INVALID,
                    "the messages of a turn may have " + MAX_TURN_BYTES + " bytes as JSON");
        }
        if (turn.maxTokens() < 0) {
            return refuse(Refusal.Kind.INVALID, "max_tokens must not be negative");
        }
        return Optional.empty();
    }

    private static Optional<Refusal> checkService(
            Operation.ServiceCall call, ProgramTemplate template, Configuration configuration) {
        Target target = configuration.targets().get(call.target());
        if (target == null
                || target.kind() != Target.Kind.PLAIN_SERVICE
                || !template.services().contains(call.target())) {
            return refuse(Refusal.Kind.NOT_FOUND, "no service " + call.target());
        }
        if (operation(call, target).isEmpty()) {
            return refuse(
                    Refusal.Kind.NOT_FOUND,
                    "service " + call.target() + " has no " + call.method() + " " + call.path());
        }
        return Optional.empty();
    }

    /** The declared operation that {@code call} is. */
    static Optional<Target.Operation> operation(Operation.ServiceCall call, Target target) {
        String path = call.path().split("\\?", 2)[0];
        return target.operations().stream()
                .filter(op -> op.method().equals(call.method()) && covers(op.path(), path))
                .findFirst();
    }

    /** Whether a service call may be sent twice; an undeclared one may not. */
    static boolean repeatable(Operation.ServiceCall call, Configuration configuration) {
        Target target = configuration.targets().get(call.target());
        return target != null
                && operation(call, target).map(Target.Operation::repeatable).orElse(false);
    }

    /** Most tokens a prompt can have: no token is shorter than a byte. */
    static int boundTokens(List<Message> messages) {
        long bound = 0;
        for (Message message : messages) {
            bound += message.content().getBytes(StandardCharsets.UTF_8).length;
            bound += MESSAGE_OVERHEAD_TOKENS;
        }
        return (int) Math.min(Integer.MAX_VALUE, bound);
    }

    /**
     * Most tokens the prompt of the agent's next turn can have; the counted length of its last turn
     * is used where the same model counted it.
     */
    static int promptBoundTokens(AgentState agent, Operation.ModelTurn turn) {
        int added = boundTokens(turn.messages());
        if (agent.turns.isEmpty()) {
            return added;
        }
        TurnSummary last = agent.turns.getLast().summary();
        if (!last.model().equals(turn.model())) {
            return added + boundTokens(agent.history());
        }
        return last.promptTokens() + last.outputTokens() + MESSAGE_OVERHEAD_TOKENS + added;
    }

    /** Likely length of the prompt, in tokens, for predictions only. */
    static int estimatePromptTokens(AgentState agent, Operation.ModelTurn turn) {
        int added = 1 + boundTokens(turn.messages()) / BYTES_PER_TOKEN;
        if (agent.turns.isEmpty()) {
            return added;
        }
        TurnSummary last = agent.turns.getLast().summary();
        return last.promptTokens() + last.outputTokens() + added;
    }

    /** Most tokens of the answer. */
    static int maxTokens(Operation.ModelTurn turn, Model model) {
        return turn.maxTokens() == 0
                ? model.maxOutputTokens()
                : Math.min(turn.maxTokens(), model.maxOutputTokens());
    }

    /** The budget of a template's programs; an absent one is empty. */
    static Budget budget(ProgramTemplate template, Configuration configuration) {
        Budget budget = configuration.budgets().get(template.budget());
        return budget == null ? new Budget(template.budget(), 0, 0, 1) : budget;
    }

    static Optional<Refusal> refuse(Refusal.Kind kind, String detail) {
        return Optional.of(new Refusal(kind, detail, Execution.NOT_RUN, 0));
    }

    private static boolean covers(String declared, String path) {
        return path.equals(declared) || path.startsWith(declared + "/");
    }
}
