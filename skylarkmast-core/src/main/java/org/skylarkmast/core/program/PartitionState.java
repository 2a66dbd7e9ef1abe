package org.skylarkmast.core.program;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.skylarkmast.core.journal.ReplayedPartition;
import org.skylarkmast.core.json.JsonUtil;
import org.skylarkmast.core.key.ProgramKey;

/** The programs of one partition, changed by applying journal records. Not thread-safe. */
final class PartitionState {

    /** Ended programs remembered per partition, so that late duplicates do not run as new calls. */
    private static final int MAX_REMEMBERED_ENDED = 10_000;

    final Map<ProgramKey, ProgramTree> trees = new LinkedHashMap<>();
    private final Map<ProgramKey, Boolean> endedPrograms = new LinkedHashMap<>();

    /** Rebuilds the state that a former owner recorded; its open grants count as spent. */
    static PartitionState replay(ReplayedPartition replayed, long nowNs) {
        PartitionState state = new PartitionState();
        for (byte[] chunk : replayed.snapshotChunks()) {
            for (JournalRecord record : JsonUtil.fromBytes(chunk, JournalRecord[].class)) {
                state.apply(record, nowNs);
            }
        }
        for (byte[] bytes : replayed.records()) {
            state.apply(JsonUtil.fromBytes(bytes, JournalRecord.class), nowNs);
        }
        state.trees.values().forEach(PartitionState::markInherited);
        return state;
    }

    private static void markInherited(ProgramTree tree) {
        tree.inheritedOpenCalls |= tree.budget.grantedTokens() > tree.budget.spentTokens();
        tree.budget.countGrantsAsSpent();
    }

    /** The snapshot from which {@link #replay} rebuilds this state. */
    List<byte[]> snapshot() {
        List<byte[]> chunks = new ArrayList<>();
        List<JournalRecord> endedRecords = new ArrayList<>();
        endedPrograms
                .keySet()
                .forEach(key -> endedRecords.add(new JournalRecord.ProgramEnded(key)));
        chunks.add(JsonUtil.toBytes(endedRecords.toArray(new JournalRecord[0])));
        for (ProgramTree tree : trees.values()) {
            for (JournalRecord.TreeSnapshot part : tree.snapshot()) {
                chunks.add(JsonUtil.toBytes(new JournalRecord[] {part}));
            }
        }
        return chunks;
    }

    Optional<AgentState> agent(ProgramKey key) {
        ProgramTree tree = trees.get(key.root());
        return tree == null ? Optional.empty() : Optional.ofNullable(tree.agents.get(key));
    }

    boolean hasEnded(ProgramKey key) {
        return endedPrograms.containsKey(key) || endedPrograms.containsKey(key.root());
    }

    /** Removes a program or sub-agent with everything below it and returns the removed keys. */
    List<ProgramKey> end(ProgramKey key) {
        List<ProgramKey> removed = new ArrayList<>();
        ProgramTree tree = trees.get(key.root());
        if (tree != null) {
            for (ProgramKey agent : List.copyOf(tree.agents.keySet())) {
                if (agent.equals(key) || agent.id().startsWith(key.id() + "/")) {
                    tree.agents.remove(agent);
                    removed.add(agent);
                }
            }
            if (key.equals(tree.root)) {
                trees.remove(tree.root);
            }
        }
        endedPrograms.put(key, true);
        if (endedPrograms.size() > MAX_REMEMBERED_ENDED) {
            endedPrograms.remove(endedPrograms.keySet().iterator().next());
        }
        return removed;
    }

    /** Applies the change that {@code record} describes. */
    void apply(JournalRecord record, long nowNs) {
        switch (record) {
            case JournalRecord.ProgramStarted started -> start(started, nowNs);
            case JournalRecord.GrantTaken grant ->
                    tree(grant.root()).budget.replayGrant(grant.tokens());
            case JournalRecord.GrantReturned returned ->
                    tree(returned.root())
                            .budget
                            .restore(returned.spentTokens(), returned.spentTokens());
            case JournalRecord.IntentRecorded intent -> {
                agent(intent.program())
                        .orElseThrow()
                        .openIntents
                        .put(intent.idempotencyKey(), intent);
                tree(intent.program()).serviceCalls++;
            }
            case JournalRecord.IntentWithdrawn withdrawn -> {
                agent(withdrawn.program())
                        .orElseThrow()
                        .openIntents
                        .remove(withdrawn.idempotencyKey());
                tree(withdrawn.program()).serviceCalls--;
            }
            case JournalRecord.TurnCompleted turn -> {
                complete(turn);
                TurnSummary summary = turn.summary();
                tree(turn.program())
                        .budget
                        .replaySpent(summary.promptTokens() + (long) summary.outputTokens());
            }
            case JournalRecord.ServiceCompleted service -> complete(service);
            case JournalRecord.ProgramEnded ending -> end(ending.program());
            case JournalRecord.TreeSnapshot part -> {
                part.records().forEach(inner -> apply(inner, nowNs));
                tree(part.root()).budget.restore(part.grantedTokens(), part.spentTokens());
                tree(part.root()).inheritedOpenCalls |= part.inheritedOpenCalls();
            }
        }
    }

    AgentState start(JournalRecord.ProgramStarted started, long nowNs) {
        ProgramTree tree =
                trees.computeIfAbsent(
                        started.program().root(),
                        root -> new ProgramTree(root, started.template()));
        tree.lastActiveNs = nowNs;
        return tree.agent(started.program());
    }

    void complete(JournalRecord.TurnCompleted turn) {
        AgentState agent = agent(turn.program()).orElseThrow();
        agent.storedAnswers.put(
                turn.idempotencyKey(),
                new StoredAnswer.ModelAnswer(turn.digest(), agent.turns.size(), turn.summary()));
        agent.turns.add(turn);
        agent.tree.turns++;
    }

    void complete(JournalRecord.ServiceCompleted service) {
        AgentState agent = agent(service.program()).orElseThrow();
        boolean hadIntent = agent.openIntents.remove(service.idempotencyKey()) != null;
        if (!hadIntent && !agent.calls.containsKey(service.idempotencyKey())) {
            agent.tree.serviceCalls++; // snapshots omit the intents of completed calls
        }
        agent.storedAnswers.put(
                service.idempotencyKey(),
                new StoredAnswer.ServiceAnswer(
                        service.digest(),
                        service.status(),
                        service.contentType(),
                        service.body(),
                        service.summary()));
        agent.tree.turns++;
    }

    private ProgramTree tree(ProgramKey key) {
        ProgramTree tree = trees.get(key.root());
        if (tree == null) {
            throw new IllegalStateException("journal record refers to unknown program " + key);
        }
        return tree;
    }
}
