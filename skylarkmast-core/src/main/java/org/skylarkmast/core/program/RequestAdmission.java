package org.skylarkmast.core.program;

import java.util.Optional;
import org.skylarkmast.core.config.ProgramTemplate;

/**
 * Admits callers' requests: a duplicate joins the running call or gets the stored answer, a new
 * call is queued.
 */
final class RequestAdmission {

    /** Maximum number of calls of one program queued behind the running one. */
    private static final int MAX_QUEUED_PER_PROGRAM = 16;

    private static final long QUEUE_RETRY_MS = 1_000;
    private static final long OWNER_MOVED_RETRY_MS = 200;
    private static final long NS_PER_MS = 1_000_000;

    private final PartitionContext context;
    private final CallLifecycle lifecycle;
    private final ProgramTermination termination;

    RequestAdmission(
            PartitionContext context, CallLifecycle lifecycle, ProgramTermination termination) {
        this.context = context;
        this.lifecycle = lifecycle;
        this.termination = termination;
    }

    void onRequested(long waiterId, CallerRequest request) {
        if (context.ownershipLost || context.handingOver) {
            context.refuse(
                    waiterId,
                    request,
                    new Refusal(
                            Refusal.Kind.OWNER_MOVED,
                            "the program moves to another owner",
                            Execution.NOT_RUN,
                            OWNER_MOVED_RETRY_MS));
            return;
        }
        Optional<AgentState> agent = context.state.agent(request.program());
        if (agent.isPresent() && handleDuplicate(waiterId, request, agent.get())) {
            return;
        }
        switch (request.operation()) {
            case Operation.ReadProgram ignored -> read(waiterId, request);
            case Operation.EndProgram ignored -> termination.onEndRequested(waiterId, request);
            case Operation.ModelTurn ignored -> admit(waiterId, request);
            case Operation.ServiceCall ignored -> admit(waiterId, request);
        }
    }

    /**
     * Answers, joins or refuses a request whose idempotency key is known.
     *
     * @return whether the key is known
     */
    private boolean handleDuplicate(long waiterId, CallerRequest request, AgentState agent) {
        Call running = agent.calls.get(request.idempotencyKey());
        StoredAnswer storedAnswer = agent.storedAnswers.get(request.idempotencyKey());
        JournalRecord.IntentRecorded openIntent = agent.openIntents.get(request.idempotencyKey());
        if (running != null) {
            if (verifyDigest(waiterId, request, running.request.digest())) {
                join(waiterId, running);
            }
        } else if (storedAnswer != null) {
            if (verifyDigest(waiterId, request, storedAnswer.digest())) {
                context.emit(waiterId, storedAnswerEvent(agent, storedAnswer));
            }
        } else if (openIntent != null) {
            if (verifyDigest(waiterId, request, openIntent.digest())) {
                resolveOpenIntent(waiterId, request, agent);
            }
        } else {
            return false;
        }
        return true;
    }

    private boolean verifyDigest(long waiterId, CallerRequest request, String digest) {
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

    /**
     * Resolves a call that a former owner or a failed attempt may have sent without recording its
     * end; it is not sent again.
     */
    private void resolveOpenIntent(long waiterId, CallerRequest request, AgentState agent) {
        Call call = newCall(waiterId, request, agent, Long.MAX_VALUE);
        if (lifecycle.answerHandler().supportsLookup(call)) {
            lifecycle.answerHandler().startLookup(call);
        } else {
            lifecycle
                    .answerHandler()
                    .onLookupCompleted(
                            new ProgramEvent.LookupCompleted(call.id, 0, "", new byte[0]));
        }
    }

    private static CallerEvent storedAnswerEvent(AgentState agent, StoredAnswer storedAnswer) {
        return switch (storedAnswer) {
            case StoredAnswer.ModelAnswer model ->
                    new CallerEvent.ModelAnswered(
                            agent.turns.get(model.turnIndex()).answer(), model.summary());
            case StoredAnswer.ServiceAnswer service when service.body() == null ->
                    new CallerEvent.Refused(
                            new Refusal(
                                    Refusal.Kind.CONFLICT,
                                    "the call ran; its answer was too large to keep",
                                    Execution.RAN,
                                    0));
            case StoredAnswer.ServiceAnswer service ->
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

    /**
     * Refuses a request to an ended program. The idempotency keys of ended programs are not kept,
     * so it is unknown whether the request ran before.
     */
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
                    RequestChecks.refusal(Refusal.Kind.NOT_FOUND, "no template " + templateName)
                            .orElseThrow());
            return;
        }
        Optional<Refusal> refusal = check(request, template.get(), tree);
        if (refusal.isPresent()) {
            context.refuse(waiterId, request, refusal.get());
            return;
        }
        AgentState agent = getOrStartAgent(request, templateName);
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
        lifecycle.startNext(agent);
    }

    private Optional<Refusal> check(
            CallerRequest request, ProgramTemplate template, ProgramTree tree) {
        if (tree != null
                && !request.template().isEmpty()
                && !request.template().equals(tree.template)) {
            return RequestChecks.refusal(
                    Refusal.Kind.CONFLICT, "the program was started from " + tree.template);
        }
        if (request.program().depth() > 0 && tree == null) {
            return RequestChecks.refusal(
                    Refusal.Kind.NOT_FOUND, "no program " + request.program().rootId());
        }
        return RequestChecks.check(request, template, context.configuration);
    }

    private AgentState getOrStartAgent(CallerRequest request, String templateName) {
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
        agent.calls.put(call.idempotencyKey(), call);
        return call;
    }
}
