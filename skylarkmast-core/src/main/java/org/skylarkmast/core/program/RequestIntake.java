package org.skylarkmast.core.program;

import java.util.Optional;
import org.skylarkmast.core.config.ProgramTemplate;

/** Takes callers' requests: duplicates are joined or answered again, others get in line. */
final class RequestIntake {

    /** Requests of one program that may wait behind the running one. */
    private static final int MAX_QUEUED_PER_PROGRAM = 16;

    private static final long QUEUE_RETRY_MS = 1_000;
    private static final long MOVED_RETRY_MS = 200;
    private static final long NS_PER_MS = 1_000_000;

    private final PartitionContext context;
    private final CallProgress progress;
    private final ProgramEnding ending;

    RequestIntake(PartitionContext context, CallProgress progress, ProgramEnding ending) {
        this.context = context;
        this.progress = progress;
        this.ending = ending;
    }

    void requested(long waiterId, CallerRequest request) {
        if (context.lost || context.handingOver) {
            context.refuse(
                    waiterId,
                    request,
                    new Refusal(
                            Refusal.Kind.OWNER_MOVED,
                            "the program moves to another owner",
                            Execution.NOT_RUN,
                            MOVED_RETRY_MS));
            return;
        }
        Optional<AgentState> known = context.state.agent(request.program());
        if (known.isPresent() && joined(waiterId, request, known.get())) {
            return;
        }
        switch (request.operation()) {
            case Operation.ReadProgram ignored -> read(waiterId, request);
            case Operation.EndProgram ignored -> ending.requested(waiterId, request);
            case Operation.ModelTurn ignored -> admit(waiterId, request);
            case Operation.ServiceCall ignored -> admit(waiterId, request);
        }
    }

    /** Whether the request's key is known and its waiter is served by what it stands for. */
    private boolean joined(long waiterId, CallerRequest request, AgentState agent) {
        Call running = agent.calls.get(request.idempotencyKey());
        Answered answered = agent.answered.get(request.idempotencyKey());
        JournalRecord.IntentRecorded open = agent.openIntents.get(request.idempotencyKey());
        if (running != null) {
            if (sameDigest(waiterId, request, running.request.digest())) {
                join(waiterId, running);
            }
        } else if (answered != null) {
            if (sameDigest(waiterId, request, answered.digest())) {
                context.emit(waiterId, stored(agent, answered));
            }
        } else if (open != null) {
            if (sameDigest(waiterId, request, open.digest())) {
                settle(waiterId, request, agent);
            }
        } else {
            return false;
        }
        return true;
    }

    private boolean sameDigest(long waiterId, CallerRequest request, String digest) {
        if (request.digest().equals(digest)) {
            return true;
        }
        context.refuse(
                waiterId,
                request,
                new Refusal(
                        Refusal.Kind.CONFLICT,
                        "the idempotency key was used for another request",
                        Execution.NOT_RUN,
                        0));
        return false;
    }

    private void join(long waiterId, Call running) {
        running.waiters.add(waiterId);
        context.callByWaiter.put(waiterId, running);
        for (int i = 0; i < running.tokens.size(); i++) {
            context.emit(waiterId, new CallerEvent.Token(i, running.tokens.get(i)));
        }
    }

    /** A call was sent by somebody who never recorded its end; it is not sent again. */
    private void settle(long waiterId, CallerRequest request, AgentState agent) {
        Call call = newCall(waiterId, request, agent, Long.MAX_VALUE);
        if (progress.answers().supportsLookup(call)) {
            progress.answers().lookUp(call);
        } else {
            progress.answers().lookedUp(new ProgramEvent.LookedUp(call.id, 0, "", new byte[0]));
        }
    }

    private static CallerEvent stored(AgentState agent, Answered answered) {
        return switch (answered) {
            case Answered.ByModel model ->
                    new CallerEvent.ModelAnswered(
                            agent.turns.get(model.turnIndex()).answer(), model.summary());
            case Answered.ByService service when service.body() == null ->
                    new CallerEvent.Refused(
                            new Refusal(
                                    Refusal.Kind.CONFLICT,
                                    "the call ran; its answer was too large to keep",
                                    Execution.RAN,
                                    0));
            case Answered.ByService service ->
                    new CallerEvent.ServiceAnswered(
                            service.status(),
                            service.contentType(),
                            service.body(),
                            service.summary());
        };
    }

    private void read(long waiterId, CallerRequest request) {
        Optional<AgentState> agent = context.state.agent(request.program());
        if (agent.isEmpty()) {
            refuseMissing(waiterId, request);
            return;
        }
        context.emit(waiterId, agent.get().read());
    }

    private void refuseMissing(long waiterId, CallerRequest request) {
        if (context.state.hasEnded(request.program())) {
            refuseEnded(waiterId, request);
        } else {
            context.refuse(
                    waiterId,
                    request,
                    new Refusal(
                            Refusal.Kind.NOT_FOUND,
                            "no program " + request.program().id(),
                            Execution.NOT_RUN,
                            0));
        }
    }

    /** Keys of ended programs are forgotten, so whether this one ran before cannot be told. */
    private void refuseEnded(long waiterId, CallerRequest request) {
        context.refuse(
                waiterId,
                request,
                new Refusal(
                        Refusal.Kind.PROGRAM_ENDED, "the program has ended", Execution.UNKNOWN, 0));
    }

    private void admit(long waiterId, CallerRequest request) {
        ProgramTree tree = context.state.trees.get(request.program().root());
        if (context.state.hasEnded(request.program()) || (tree != null && tree.ending)) {
            refuseEnded(waiterId, request);
            return;
        }
        String templateName = tree == null ? request.template() : tree.template;
        Optional<ProgramTemplate> template = context.template(templateName);
        if (template.isEmpty()) {
            context.refuse(
                    waiterId,
                    request,
                    RequestChecks.refuse(Refusal.Kind.NOT_FOUND, "no template " + templateName)
                            .orElseThrow());
            return;
        }
        Optional<Refusal> wrong = check(request, template.get(), tree);
        if (wrong.isPresent()) {
            context.refuse(waiterId, request, wrong.get());
            return;
        }
        AgentState agent = started(request, templateName);
        if (agent.queue.size() >= MAX_QUEUED_PER_PROGRAM) {
            context.refuse(
                    waiterId,
                    request,
                    new Refusal(
                            Refusal.Kind.OVERLOADED,
                            "the program has " + agent.queue.size() + " calls waiting",
                            Execution.NOT_RUN,
                            QUEUE_RETRY_MS));
            return;
        }
        long deadlineNs = context.nowNs + template.get().callTimeoutMs() * NS_PER_MS;
        agent.queue.add(newCall(waiterId, request, agent, deadlineNs));
        progress.startNext(agent);
    }

    private Optional<Refusal> check(
            CallerRequest request, ProgramTemplate template, ProgramTree tree) {
        if (tree != null
                && !request.template().isEmpty()
                && !request.template().equals(tree.template)) {
            return RequestChecks.refuse(
                    Refusal.Kind.CONFLICT, "the program was started from " + tree.template);
        }
        if (request.program().depth() > 0 && tree == null) {
            return RequestChecks.refuse(
                    Refusal.Kind.NOT_FOUND, "no program " + request.program().rootId());
        }
        return RequestChecks.check(request, template, context.configuration);
    }

    private AgentState started(CallerRequest request, String templateName) {
        return context.state
                .agent(request.program())
                .orElseGet(
                        () -> {
                            JournalRecord.ProgramStarted record =
                                    new JournalRecord.ProgramStarted(
                                            request.program(), templateName);
                            context.append(record, ignored -> {});
                            return context.state.start(record, context.nowNs);
                        });
    }

    private Call newCall(long waiterId, CallerRequest request, AgentState agent, long deadlineNs) {
        Call call = new Call(context.newCallId(), request, agent, deadlineNs);
        call.waiters.add(waiterId);
        context.calls.put(call.id, call);
        context.callByWaiter.put(waiterId, call);
        agent.calls.put(call.key(), call);
        return call;
    }
}
