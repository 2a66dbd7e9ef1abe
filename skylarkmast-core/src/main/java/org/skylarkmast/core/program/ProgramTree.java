package org.skylarkmast.core.program;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.skylarkmast.core.key.ProgramKey;

/** A root program with its sub-agents, which share its budget and limits. */
final class ProgramTree {

    /**
     * Characters of content after which a snapshot part is closed; a part must stay below the
     * journal's record limit.
     */
    private static final int SNAPSHOT_PART_CHARS = 200_000;

    final ProgramKey root;
    final String template;
    final BudgetAccount budget = new BudgetAccount();
    final Map<ProgramKey, AgentState> agents = new LinkedHashMap<>();
    final List<Call> awaitingGrant = new ArrayList<>();

    int turns;
    int serviceCalls;
    int pendingGrants;
    long lastActiveNs;
    boolean ending;

    /**
     * Whether a former owner left grants open, so that it may have sent model calls of which there
     * is no record.
     */
    boolean inheritedOpenCalls;

    ProgramTree(ProgramKey root, String template) {
        this.root = root;
        this.template = template;
    }

    AgentState agent(ProgramKey key) {
        return agents.computeIfAbsent(key, added -> new AgentState(added, this));
    }

    boolean isBusy() {
        return agents.values().stream().anyMatch(AgentState::isBusy);
    }

    /** The records that rebuild this tree, split into parts that each fit a journal record. */
    List<JournalRecord.TreeSnapshot> snapshot() {
        List<JournalRecord.TreeSnapshot> parts = new ArrayList<>();
        List<JournalRecord> part = new ArrayList<>();
        int chars = 0;
        for (AgentState agent : agents.values()) {
            List<JournalRecord> records = new ArrayList<>();
            records.add(new JournalRecord.ProgramStarted(agent.key, template));
            records.addAll(agent.turns);
            agent.storedAnswers.forEach((key, answer) -> addService(records, agent, key, answer));
            records.addAll(agent.openIntents.values());
            agent.calls.values().stream()
                    .filter(call -> call.intentCommitted)
                    .map(ProgramTree::intentOf)
                    .forEach(records::add);
            for (JournalRecord record : records) {
                if (chars > SNAPSHOT_PART_CHARS) {
                    parts.add(toPart(part));
                    part = new ArrayList<>();
                    chars = 0;
                }
                part.add(record);
                chars += contentChars(record);
            }
        }
        parts.add(toPart(part));
        return parts;
    }

    static JournalRecord.IntentRecorded intentOf(Call call) {
        Operation.ServiceCall service = (Operation.ServiceCall) call.request.operation();
        return new JournalRecord.IntentRecorded(
                call.agent.key, call.idempotencyKey(), call.request.digest(), service.target());
    }

    private JournalRecord.TreeSnapshot toPart(List<JournalRecord> records) {
        return new JournalRecord.TreeSnapshot(
                root, budget.grantedTokens(), budget.spentTokens(), inheritedOpenCalls, records);
    }

    private static void addService(
            List<JournalRecord> records, AgentState agent, String key, StoredAnswer answer) {
        if (answer instanceof StoredAnswer.ServiceAnswer service) {
            records.add(
                    new JournalRecord.ServiceCompleted(
                            agent.key,
                            key,
                            service.digest(),
                            service.status(),
                            service.contentType(),
                            service.body(),
                            service.summary()));
        }
    }

    private static int contentChars(JournalRecord record) {
        return switch (record) {
            case JournalRecord.TurnCompleted turn ->
                    turn.answer().length()
                            + turn.messages().stream().mapToInt(m -> m.content().length()).sum();
            case JournalRecord.ServiceCompleted service ->
                    service.body() == null ? 0 : service.body().length * 2;
            case JournalRecord.ProgramStarted ignored -> 0;
            case JournalRecord.GrantTaken ignored -> 0;
            case JournalRecord.GrantReturned ignored -> 0;
            case JournalRecord.IntentRecorded ignored -> 0;
            case JournalRecord.IntentWithdrawn ignored -> 0;
            case JournalRecord.ProgramEnded ignored -> 0;
            case JournalRecord.TreeSnapshot ignored -> 0;
        };
    }
}
