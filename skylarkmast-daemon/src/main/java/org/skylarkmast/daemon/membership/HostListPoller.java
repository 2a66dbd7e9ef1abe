package org.skylarkmast.daemon.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import org.skylarkmast.core.json.JsonUtil;
import org.skylarkmast.core.membership.HostList;
import org.skylarkmast.daemon.loop.EventLoop;
import org.skylarkmast.http.ClientRequest;
import org.skylarkmast.http.HttpClient;
import org.skylarkmast.http.HttpOutcome;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import tools.jackson.core.JacksonException;
import tools.jackson.databind.JsonNode;

/** Reads the platform's host list again and again; a list that cannot be read changes nothing. */
public final class HostListPoller {
    private static final Logger LOG = LoggerFactory.getLogger(HostListPoller.class);
    private static final long NS_PER_MS = 1_000_000L;
    private static final String PATH = "/hosts";

    private final HttpClient client;
    private final String address;
    private final EventLoop loop;
    private final Executor blocking;
    private final long intervalMs;
    private final Consumer<HostList> consumer;

    private volatile boolean closed;

    /**
     * Creates a poller that is not started.
     *
     * @param address of the host list, {@code host:port}
     * @param blocking runs each read on a thread of its own
     * @param intervalMs pause between reads, and most time for one
     * @param consumer called on {@code loop} with every list read
     */
    public HostListPoller(
            HttpClient client,
            String address,
            EventLoop loop,
            Executor blocking,
            long intervalMs,
            Consumer<HostList> consumer) {
        this.client = client;
        this.address = address;
        this.loop = loop;
        this.blocking = blocking;
        this.intervalMs = intervalMs;
        this.consumer = consumer;
    }

    /** Starts reading; call once. */
    public void start() {
        loop.execute(this::poll);
    }

    /** Stops reading. */
    public void close() {
        closed = true;
    }

    private void poll() {
        if (closed) {
            return;
        }
        blocking.execute(
                () -> {
                    Optional<HostList> hosts = read();
                    loop.execute(
                            () -> {
                                hosts.ifPresent(consumer);
                                loop.schedule(this::poll, intervalMs * NS_PER_MS);
                            });
                });
    }

    private Optional<HostList> read() {
        HttpOutcome outcome = client.send(ClientRequest.get(address, PATH, intervalMs));
        if (outcome instanceof HttpOutcome.Answered answered && answered.status() == 200) {
            return parse(answered.body());
        }
        failed(outcome.toString());
        return Optional.empty();
    }

    /** Reads the JSON form; fields not known here are passed over, since the list is not ours. */
    static Optional<HostList> parse(byte[] body) {
        try {
            JsonNode root = JsonUtil.MAPPER.readTree(body);
            List<HostList.Host> hosts = new ArrayList<>();
            for (JsonNode host : root.path("hosts")) {
                hosts.add(
                        new HostList.Host(
                                host.required("address").asString(),
                                "LEAVING".equals(host.required("state").asString())));
            }
            return Optional.of(new HostList(root.required("revision").asLong(), hosts));
        } catch (JacksonException e) {
            failed(e.getOriginalMessage());
            return Optional.empty();
        }
    }

    private static void failed(String reason) {
        LOG.atWarn().addKeyValue("event", "host_list_unread").addKeyValue("reason", reason).log();
    }
}
