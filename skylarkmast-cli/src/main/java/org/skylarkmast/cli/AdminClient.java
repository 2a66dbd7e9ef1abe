package org.skylarkmast.cli;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.skylarkmast.core.json.JsonUtil;
import org.skylarkmast.http.ClientRequest;
import org.skylarkmast.http.HttpClient;
import org.skylarkmast.http.HttpOutcome;
import tools.jackson.core.JacksonException;
import tools.jackson.databind.JsonNode;
import tools.jackson.databind.node.MissingNode;
import tools.jackson.databind.node.ObjectNode;

/**
 * Sends requests to the administration ports of daemons.
 *
 * <p>Every request is idempotent (a change because of its write id), so it is retried on the next
 * server when one does not answer.
 */
final class AdminClient implements AutoCloseable {
    private static final int CONNECT_TIMEOUT_MS = 3_000;
    private static final int SERVICE_UNAVAILABLE = 503;

    private final HttpClient client = new HttpClient(1, CONNECT_TIMEOUT_MS);
    private final List<String> servers;
    private final String key;
    private final long timeoutMs;

    /**
     * @param servers addresses, tried in this order
     * @param key operator key, or empty for none
     * @param timeoutMs longest time without data from a server
     */
    AdminClient(List<String> servers, String key, long timeoutMs) {
        this.servers = List.copyOf(servers);
        this.key = key;
        this.timeoutMs = timeoutMs;
    }

    /** Reads {@code path} from the first server that can answer. */
    AdminReply get(String path) {
        return sendWithFailover("GET", path, new byte[0]);
    }

    /** Reads {@code path} from every server. */
    List<AdminReply> getFromAll(String path) {
        return servers.stream().map(server -> send(server, "GET", path, new byte[0])).toList();
    }

    /** Publishes {@code change}, which has a write id, through the first server that can answer. */
    AdminReply publish(ObjectNode change) {
        return sendWithFailover("PUT", "/v1/objects", JsonUtil.toBytes(change));
    }

    @Override
    public void close() {
        client.close();
    }

    private AdminReply sendWithFailover(String method, String path, byte[] body) {
        List<String> reasons = new ArrayList<>();
        boolean mayHaveExecuted = false;
        AdminReply.Answered unavailable = null;
        for (String server : servers) {
            switch (send(server, method, path, body)) {
                case AdminReply.Answered answered -> {
                    if (answered.status() != SERVICE_UNAVAILABLE) {
                        return answered;
                    }
                    mayHaveExecuted |=
                            answered.body().path("execution").asString("").equals("unknown");
                    unavailable = answered;
                }
                case AdminReply.Unreachable unreachable -> {
                    reasons.addAll(unreachable.reasons());
                    mayHaveExecuted |= unreachable.mayHaveExecuted();
                }
            }
        }
        if (unavailable != null) {
            reasons.add(
                    unavailable.server() + ": " + unavailable.body().path("detail").asString(""));
        }
        return new AdminReply.Unreachable(reasons, mayHaveExecuted);
    }

    private AdminReply send(String server, String method, String path, byte[] body) {
        Map<String, String> headers = new HashMap<>();
        if (!key.isEmpty()) {
            headers.put("Authorization", "Bearer " + key);
        }
        ClientRequest request =
                new ClientRequest(server, method, path, headers, body, timeoutMs, true);
        return switch (client.send(request)) {
            case HttpOutcome.Answered answered ->
                    new AdminReply.Answered(server, answered.status(), parseJson(answered.text()));
            case HttpOutcome.NotSent notSent -> unreachable(server, notSent.reason(), false);
            case HttpOutcome.Broken broken -> unreachable(server, broken.reason(), true);
            case HttpOutcome.TimedOut timedOut ->
                    unreachable(server, "no answer within " + timeoutMs + " ms", true);
        };
    }

    private static AdminReply unreachable(String server, String reason, boolean mayHaveExecuted) {
        return new AdminReply.Unreachable(List.of(server + ": " + reason), mayHaveExecuted);
    }

    private static JsonNode parseJson(String text) {
        try {
            return JsonUtil.MAPPER.readTree(text);
        } catch (JacksonException e) {
            return MissingNode.getInstance();
        }
    }
}
