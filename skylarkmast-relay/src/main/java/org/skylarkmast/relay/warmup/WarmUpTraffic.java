package org.skylarkmast.relay.warmup;

import java.util.List;
import org.skylarkmast.http.HttpHandler;
import org.skylarkmast.relay.http.HeaderFields;
import org.skylarkmast.relay.route.RoutingConfiguration;
import org.skylarkmast.relay.runner.Runner;

/** The requests of a warm-up and the answers of its runners, in the platform's wire names. */
public interface WarmUpTraffic {

    /** A request to the node that is warmed up. */
    @SuppressWarnings("ArrayRecordComponent") // bodies are opaque and never compared
    record Request(String method, String target, HeaderFields fields, byte[] body) {}

    /** Returns the configuration that the requests are meant for. */
    RoutingConfiguration configuration();

    /**
     * Returns the runners.
     *
     * @param address {@code host:port} at which {@link #runnerHandler} answers for all of them
     */
    List<Runner> runners(String address);

    /** Returns what answers as the runners. */
    HttpHandler runnerHandler();

    /** Returns the requests of a round, to be sent one after the other on one connection. */
    List<Request> round(int number);
}
