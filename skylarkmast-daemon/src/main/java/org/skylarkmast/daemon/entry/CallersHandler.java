package org.skylarkmast.daemon.entry;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Function;
import java.util.function.Supplier;
import org.skylarkmast.core.config.Configuration;
import org.skylarkmast.core.config.Workspace;
import org.skylarkmast.core.json.JsonUtil;
import org.skylarkmast.core.key.ProgramKey;
import org.skylarkmast.core.program.CallerEvent;
import org.skylarkmast.core.program.CallerRequest;
import org.skylarkmast.core.program.Operation;
import org.skylarkmast.core.program.Refusal;
import org.skylarkmast.daemon.problem.ProblemReply;
import org.skylarkmast.daemon.telemetry.TraceParent;
import org.skylarkmast.http.HttpHandler;
import org.skylarkmast.http.HttpReply;
import org.skylarkmast.http.ServerRequest;

/** Serves callers: chat completions, calls to plain services, reading and ending programs. */
public final class CallersHandler implements HttpHandler {
    private static final String CHAT_PATH = "/v1/chat/completions";
    private static final String SERVICES_PATH = "/v1/services/";
    private static final String PROGRAMS_PATH = "/v1/programs/";

    private final Supplier<Configuration> configuration;
    private final RequestRouter router;
    private final EntryHop hop;
    private final Executor requests;
    private final Supplier<String> newKey;
    private final Function<ProgramKey, String> ownerName;

    /**
     * @param requests runs one blocking request per task
     * @param newKey makes keys for requests that carry none
     * @param ownerName names the node that owns a program, for answers' metadata
     */
    public CallersHandler(
            Supplier<Configuration> configuration,
            RequestRouter router,
            EntryHop hop,
            Executor requests,
            Supplier<String> newKey,
            Function<ProgramKey, String> ownerName) {
        this.configuration = configuration;
        this.router = router;
        this.hop = hop;
        this.requests = requests;
        this.newKey = newKey;
        this.ownerName = ownerName;
    }

    @Override
    public HttpReply handle(ServerRequest call) {
        Optional<Workspace> workspace =
                call.header("authorization")
                        .filter(value -> value.startsWith("Bearer "))
                        .map(value -> Digests.sha256Hex(value.substring("Bearer ".length())))
                        .flatMap(digest -> configuration.get().workspaceOfKey(digest));
        if (workspace.isEmpty()) {
            return ProblemReply.unauthorized("a valid bearer key is required");
        }
        String name = workspace.get().name();
        if (call.path().equals(CHAT_PATH)) {
            return call.method().equals("POST") ? chat(call, name) : methodNotAllowed("POST");
        }
        if (call.path().startsWith(SERVICES_PATH)) {
            return service(call, name);
        }
        if (call.path().startsWith(PROGRAMS_PATH)) {
            return program(call, name);
        }
        return Problems.invalid(Refusal.Kind.NOT_FOUND, "no resource " + call.path());
    }

    private HttpReply chat(ServerRequest call, String workspace) {
        return switch (ChatCodec.parse(call.body())) {
            case ChatCodec.Parsed.Wrong wrong ->
                    Problems.invalid(Refusal.Kind.INVALID, wrong.detail());
            case ChatCodec.Parsed.Chat chat -> {
                String id = call.header("skylarkmast-program").orElse("");
                yield serve(call, workspace, id, chat.turn(), chat.stream());
            }
        };
    }

    private HttpReply service(ServerRequest call, String workspace) {
        String rest = call.path().substring(SERVICES_PATH.length());
        int slash = rest.indexOf('/');
        if (slash <= 0) {
            return Problems.invalid(
                    Refusal.Kind.INVALID, "the path must be " + SERVICES_PATH + "{target}/{path}");
        }
        Operation operation =
                new Operation.ServiceCall(
                        rest.substring(0, slash),
                        call.method(),
                        rest.substring(slash),
                        call.header("content-type").orElse(""),
                        call.body());
        return serve(
                call, workspace, call.header("skylarkmast-program").orElse(""), operation, false);
    }

    private HttpReply program(ServerRequest call, String workspace) {
        String id = call.path().substring(PROGRAMS_PATH.length());
        return switch (call.method()) {
            case "GET" -> serve(call, workspace, id, new Operation.ReadProgram(), false);
            case "DELETE" -> serve(call, workspace, id, new Operation.EndProgram(), false);
            default -> methodNotAllowed("GET, DELETE");
        };
    }

    private HttpReply serve(
            ServerRequest call, String workspace, String id, Operation operation, boolean stream) {
        Optional<String> wrong = RequestHeaders.problem(call, id);
        if (wrong.isPresent()) {
            return Problems.invalid(Refusal.Kind.INVALID, wrong.get());
        }
        CallerRequest request =
                new CallerRequest(
                        new ProgramKey(workspace, id),
                        call.header("skylarkmast-template").orElse(""),
                        call.header("idempotency-key").orElseGet(newKey),
                        Digests.sha256Hex(JsonUtil.toBytes(operation)),
                        call.header(TraceParent.HEADER).orElse(""),
                        operation);
        BlockingQueue<CallerEvent> events = new LinkedBlockingQueue<>();
        AtomicBoolean listening = new AtomicBoolean(true);
        requests.execute(
                () ->
                        hop.run(
                                request,
                                (under, seen) ->
                                        router.serve(
                                                under,
                                                event -> {
                                                    seen.accept(event);
                                                    events.add(event);
                                                    return listening.get();
                                                })));
        try {
            CallerEvent first = events.take();
            if (stream && !(first instanceof CallerEvent.Refused)) {
                return streamed(request, first, events, listening);
            }
            CallerEvent last = first;
            while (!last.isFinal()) {
                last = events.take();
            }
            return whole(request, last);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            listening.set(false);
            throw new IllegalStateException("interrupted while serving", e);
        }
    }

    private HttpReply whole(CallerRequest request, CallerEvent last) {
        return switch (last) {
            case CallerEvent.ModelAnswered answered ->
                    HttpReply.json(
                            200,
                            ChatCodec.answer(
                                    request.idempotencyKey(),
                                    answered.text(),
                                    answered.summary(),
                                    ownerName.apply(request.program())));
            case CallerEvent.ServiceAnswered answered -> {
                Map<String, String> headers = new HashMap<>();
                ChatCodec.members(answered.summary(), ownerName.apply(request.program()))
                        .forEach(
                                (name, value) ->
                                        headers.put(
                                                "Skylarkmast-" + headerCase(name),
                                                String.valueOf(value)));
                yield new HttpReply.Full(
                        answered.status(), headers, answered.contentType(), answered.body());
            }
            case CallerEvent.Ended ended ->
                    HttpReply.json(
                            200,
                            JsonUtil.MAPPER.writeValueAsString(
                                    Map.of("program", ended.program().id(), "state", "ended")));
            case CallerEvent.ProgramRead read ->
                    HttpReply.json(200, JsonUtil.MAPPER.writeValueAsString(read));
            case CallerEvent.Refused refused -> Problems.reply(refused.refusal());
            case CallerEvent.Token ignored -> throw new IllegalStateException("not final");
        };
    }

    private HttpReply streamed(
            CallerRequest request,
            CallerEvent first,
            BlockingQueue<CallerEvent> events,
            AtomicBoolean listening) {
        return new HttpReply.Streamed(
                200,
                Map.of("Cache-Control", "no-store"),
                "text/event-stream",
                out -> {
                    try {
                        CallerEvent event = first;
                        while (true) {
                            writeEvent(request, event, out);
                            if (event.isFinal()) {
                                return;
                            }
                            event = events.take();
                        }
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                        throw new IOException("interrupted while streaming", e);
                    } finally {
                        listening.set(false);
                    }
                });
    }

    private void writeEvent(CallerRequest request, CallerEvent event, OutputStream out)
            throws IOException {
        String id = request.idempotencyKey();
        String lines =
                switch (event) {
                    case CallerEvent.Token token ->
                            data(ChatCodec.chunk(id, modelOf(request), token.text()));
                    case CallerEvent.ModelAnswered answered ->
                            data(
                                            ChatCodec.lastChunk(
                                                    id,
                                                    answered.summary(),
                                                    ownerName.apply(request.program())))
                                    + data("[DONE]");
                    case CallerEvent.Refused refused ->
                            "event: error\n"
                                    + data(Problems.of(refused.refusal()).toJson().toString());
                    case CallerEvent.ServiceAnswered ignored ->
                            throw new IllegalStateException("not a model's answer");
                    case CallerEvent.Ended ignored ->
                            throw new IllegalStateException("not a model's answer");
                    case CallerEvent.ProgramRead ignored ->
                            throw new IllegalStateException("not a model's answer");
                };
        out.write(lines.getBytes(StandardCharsets.UTF_8));
        out.flush();
    }

    private static String modelOf(CallerRequest request) {
        return request.operation() instanceof Operation.ModelTurn turn ? turn.model() : "";
    }

    private static String data(String json) {
        return "data: " + json + "\n\n";
    }

    private static String headerCase(String member) {
        return Character.toUpperCase(member.charAt(0)) + member.substring(1);
    }

    private static HttpReply methodNotAllowed(String allowed) {
        return new HttpReply.Full(405, Map.of("Allow", allowed), "text/plain", new byte[0]);
    }
}
