package org.skylarkmast.core.program;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.skylarkmast.core.config.Budget;
import org.skylarkmast.core.config.Configuration;
import org.skylarkmast.core.config.Model;
import org.skylarkmast.core.config.Priority;
import org.skylarkmast.core.config.ProgramTemplate;
import org.skylarkmast.core.config.Target;
import org.skylarkmast.core.config.Workspace;
import org.skylarkmast.core.journal.AppendOutcome;
import org.skylarkmast.core.journal.ReplayedPartition;
import org.skylarkmast.core.json.JsonUtil;
import org.skylarkmast.core.key.ProgramKey;

/** A partition's state machine with a journal and callers in memory; tests feed it events. */
final class PartitionFixture {
    static final ProgramKey PROGRAM = new ProgramKey("cycle", "job-1");
    static final long BUDGET_TOKENS = 1_000;
    static final long GRANT_TOKENS = 300;

    final List<byte[]> journal = new ArrayList<>();
    final List<ProgramAction> actions = new ArrayList<>();
    final Map<Long, List<CallerEvent>> receivedEvents = new java.util.HashMap<>();
    PartitionStateMachine machine;
    boolean autoCommit = true;
    long nowNs = 1;
    private long nextWaiter = 1;

    PartitionFixture() {
        machine = newMachine(new ReplayedPartition(List.of(), List.of(), 0));
    }

    /** Kills the owner; another node takes over from the committed records. */
    PartitionFixture takeOver() {
        PartitionFixture next = new PartitionFixture();
        next.journal.addAll(journal);
        next.machine = next.newMachine(new ReplayedPartition(List.of(), journal, journal.size()));
        return next;
    }

    /** Another node takes over from a snapshot of this owner. */
    PartitionFixture takeOverFromSnapshot() {
        PartitionFixture next = new PartitionFixture();
        next.machine = next.newMachine(new ReplayedPartition(machine.snapshot(), List.of(), 1));
        return next;
    }

    private PartitionStateMachine newMachine(ReplayedPartition replayed) {
        return new PartitionStateMachine(
                PROGRAM.partition(), 1, replayed, configuration(), 1, nowNs);
    }

    /** Feeds an event; while {@link #autoCommit} is set, records are committed at once. */
    List<ProgramAction> feed(ProgramEvent event) {
        List<ProgramAction> caused = new ArrayList<>(machine.on(event, nowNs));
        for (int i = 0; i < caused.size(); i++) {
            switch (caused.get(i)) {
                case ProgramAction.Append append when autoCommit -> {
                    journal.add(JsonUtil.toBytes(append.record()));
                    AppendOutcome committed = new AppendOutcome.Committed(journal.size());
                    ProgramEvent appended = new ProgramEvent.Appended(append.ticket(), committed);
                    caused.addAll(machine.on(appended, nowNs));
                }
                case ProgramAction.Emit emit ->
                        receivedEvents
                                .computeIfAbsent(emit.waiterId(), id -> new ArrayList<>())
                                .add(emit.event());
                default -> {}
            }
        }
        actions.addAll(caused);
        return caused;
    }

    long ask(ProgramKey program, String key, Operation operation) {
        long waiter = nextWaiter++;
        CallerRequest request =
                new CallerRequest(program, "intake", key, digest(operation), "", operation);
        feed(new ProgramEvent.Requested(waiter, request));
        return waiter;
    }

    long askModel(ProgramKey program, String key, String text, int maxTokens) {
        return ask(
                program,
                key,
                new Operation.ModelTurn("m", List.of(new Message("user", text)), maxTokens));
    }

    private static String digest(Operation operation) {
        return new String(JsonUtil.toBytes(operation), java.nio.charset.StandardCharsets.UTF_8);
    }

    static Operation.ServiceCall serviceCall(String path) {
        return new Operation.ServiceCall("parts", "POST", path, "", new byte[0]);
    }

    /** Dispatches the latest submitted call to a runner and returns its id. */
    long dispatch() {
        long callId = last(ProgramAction.Submit.class).call().callId();
        feed(new ProgramEvent.Dispatched(callId, "runner-1", 1));
        return callId;
    }

    /** Dispatches the latest submitted model call and completes it with {@code text}. */
    void answer(String text, int promptTokens, int outputTokens) {
        long callId = dispatch();
        feed(new ProgramEvent.TokenArrived(callId, 0, text));
        feed(new ProgramEvent.ModelFinished(callId, text, promptTokens, 0, outputTokens));
    }

    <T extends ProgramAction> T last(Class<T> type) {
        return actions.stream()
                .filter(type::isInstance)
                .map(type::cast)
                .reduce((first, second) -> second)
                .orElseThrow();
    }

    <T extends ProgramAction> List<T> all(Class<T> type) {
        return actions.stream().filter(type::isInstance).map(type::cast).toList();
    }

    CallerEvent finalEvent(long waiter) {
        List<CallerEvent> events = receivedEvents.getOrDefault(waiter, List.of());
        return events.stream().filter(CallerEvent::isFinal).findFirst().orElse(null);
    }

    Refusal refusal(long waiter) {
        return ((CallerEvent.Refused) finalEvent(waiter)).refusal();
    }

    CallerEvent.ProgramRead read(ProgramKey program) {
        return machine.read(program).orElseThrow();
    }

    static Configuration configuration() {
        Target engine =
                new Target(
                        "engine",
                        Target.Kind.MODEL_ENGINE,
                        List.of("m"),
                        List.of(new Target.Runner("runner-1", "127.0.0.1:1", "a", 4)),
                        List.of(),
                        true,
                        false);
        Target parts =
                new Target(
                        "parts",
                        Target.Kind.PLAIN_SERVICE,
                        List.of(),
                        List.of(new Target.Runner("parts-1", "127.0.0.1:2", "a", 4)),
                        List.of(
                                new Target.Operation("POST", "/orders", false),
                                new Target.Operation("POST", "/prices", true)),
                        false,
                        false);
        ProgramTemplate intake =
                new ProgramTemplate(
                        "intake",
                        "cycle",
                        List.of("m"),
                        List.of("parts"),
                        "small",
                        "normal",
                        20,
                        1,
                        60_000,
                        600_000);
        return new Configuration(
                1,
                Map.of("cycle", new Workspace("cycle", List.of(), 1, 10, 10, 1)),
                Map.of("intake", intake),
                Map.of("engine", engine, "parts", parts),
                Map.of("m", new Model("m", "v1", 100_000, 100)),
                Map.of("small", new Budget("small", BUDGET_TOKENS, 3, GRANT_TOKENS)),
                Map.of("normal", new Priority("normal", 1, 10_000)));
    }
}
