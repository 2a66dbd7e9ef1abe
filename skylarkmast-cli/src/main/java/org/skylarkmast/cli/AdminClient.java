package org.skylarkmast.cli;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.skylarkmast.core.json.JsonUtil;
import org.skylarkmast.http.HttpClient;
import org.skylarkmast.http.HttpOutcome;
import org.skylarkmast.http.HttpSend;
import tools.jackson.core.JacksonException;
import tools.jackson.databind.JsonNode;
import tools.jackson.databind.node.MissingNode;
import tools.jackson.databind.node.ObjectNode;

/**
 * Sends requests to administration ports.
 *
 * <p>Every request is idempotent, a change by its write id, so it is sent to the next server when
 * one does not answer.
 */
final class AdminClient implements AutoCloseable {
    private static final int CONNECT_TIMEOUT_MS = 3_000;
    private static final int SERVICE_UNAVAILABLE = 503;

    private final HttpClient client = new HttpClient(1, CONNECT_TIMEOUT_MS);
    private final List<String> servers;
    private final String key;
    private final long timeoutMs;

    /**
     * @param servers addresses, tried in turn
     * @param key operator key, or empty for none
     * @param timeoutMs longest silence of a server to bear
     */
    AdminClient(List<String> servers, String key, long timeoutMs) {
        this.servers = List.copyOf(servers);
        this.key = key;
        this.timeoutMs = timeoutMs;
    }

    /** Reads {@code path} from the first server that can answer. */
    AdminReply get(String path) {
        return sendInTurn("GET", path, new byte[0]);
    }

    /** Reads {@code path} from every server. */
    List<AdminReply> getFromAll(String path) {
        return servers.stream().map(server -> send(server, "GET", path, new byte[0])).toList();
    }

    /** Asks the first server that can to publish {@code change}, which carries a write id. */
    AdminReply publish(ObjectNode change) {
        return sendInTurn("PUT", "/v1/objects", JsonUtil.toBytes(change));
    }

    @Override
    public void close() {
        client.close();
    }

    private AdminReply sendInTurn(String method, String path, byte[] body) {
        List<String> reasons = new ArrayList<>();
        boolean mayHaveRun = false;
        AdminReply.Answered unavailable = null;
        for (String server : servers) {
            switch (send(server, method, path, body)) {
                case AdminReply.Answered answered -> {
                    if (answered.status() != SERVICE_UNAVAILABLE) {
                        return answered;
                    }
                    mayHaveRun |= answered.body().path("execution").asString("").equals("unknown");
                    unavailable = answered;
                }
                case AdminReply.Unreachable unreachable -> {
                    reasons.addAll(unreachable.reasons());
                    mayHaveRun |= unreachable.mayHaveRun();
                }
            }
        }
        if (unavailable != null) {
            reasons.add(
                    unavailable.server() + ": " + unavailable.body().path("detail").asString(""));
        }
        return new AdminReply.Unreachable(reasons, mayHaveRun);
    }

    private AdminReply send(String server, String method, String path, byte[] body) {
        Map<String, String> headers = new HashMap<>();
        if (!key.isEmpty()) {
            headers.put("Authorization", "Bearer " + key);
        }
        HttpSend request = new HttpSend(server, method, path, headers, body, timeoutMs, true);
        return switch (client.send(request)) {
            case HttpOutcome.Answered answered ->
                    new AdminReply.Answered(server, answered.status(), json(answered.text()));
            case HttpOutcome.NotSent notSent -> unreachable(server, notSent.reason(), false);
            case HttpOutcome.Broken broken -> unreachable(server, broken.reason(), true);
            case HttpOutcome.TimedOut timedOut ->
                    unreachable(server, "no answer within " + timeoutMs + " ms", true);
        };
    }

    private static AdminReply unreachable(String server, String reason, boolean mayHaveRun) {
        return new AdminReply.Unreachable(List.of(server + ": " + reason), mayHaveRun);
    }

    private static JsonNode json(String text) {
        try {
            return JsonUtil.MAPPER.readTree(text);
        } catch (JacksonException e) {
            return MissingNode.getInstance();
        }
    }
}
