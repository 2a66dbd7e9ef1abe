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

/** Polls the host list of the platform; a list that cannot be read is logged and skipped. */
public final class HostListPoller {
    private static final Logger LOG = LoggerFactory.getLogger(HostListPoller.class);
    private static final long NS_PER_MS = 1_000_000L;
    private static final String PATH = "/hosts";

    private final HttpClient client;
    private final String address;
    private final EventLoop loop;
    private final Executor blockingExecutor;
    private final long intervalMs;
    private final Consumer<HostList> consumer;

    private volatile boolean closed;

    /**
     * Creates a poller that is not started.
     *
     * @param address address of the host list, {@code host:port}
     * @param blockingExecutor runs the reads, which block
     * @param intervalMs delay between reads, and timeout of each read
     * @param consumer called on {@code loop} with every list that was read
     */
    public HostListPoller(
            HttpClient client,
            String address,
            EventLoop loop,
            Executor blockingExecutor,
            long intervalMs,
            Consumer<HostList> consumer) {
        this.client = client;
        this.address = address;
        this.loop = loop;
        this.blockingExecutor = blockingExecutor;
        this.intervalMs = intervalMs;
        this.consumer = consumer;
    }

    /** Starts polling; to be called once. */
    public void start() {
        loop.execute(this::poll);
    }

    /** Stops polling. */
    public void close() {
        closed = true;
    }

    private void poll() {
        if (closed) {
            return;
        }
        blockingExecutor.execute(
                () -> {
                    Optional<HostList> hosts = fetch();
                    loop.execute(
                            () -> {
                                hosts.ifPresent(consumer);
                                loop.schedule(this::poll, intervalMs * NS_PER_MS);
                            });
                });
    }

    private Optional<HostList> fetch() {
        HttpOutcome outcome = client.send(ClientRequest.get(address, PATH, intervalMs));
        if (outcome instanceof HttpOutcome.Answered answered && answered.status() == 200) {
            return parse(answered.body());
        }
        logUnreadable(outcome.toString());
        return Optional.empty();
    }

    /** Parses the JSON form; unknown fields are ignored, since the platform defines the format. */
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
            logUnreadable(e.getOriginalMessage());
            return Optional.empty();
        }
    }

    private static void logUnreadable(String reason) {
        LOG.atWarn().addKeyValue("event", "host_list_unread").addKeyValue("reason", reason).log();
    }
}
