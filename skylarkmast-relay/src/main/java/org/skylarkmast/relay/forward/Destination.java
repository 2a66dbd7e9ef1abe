package org.skylarkmast.relay.forward;

import org.skylarkmast.relay.runner.Runner;

/**
 * Where a request is sent.
 *
 * @param id id of the runner or entry node
 * @param connectionKey identity for which connections are reused; differs between incarnations
 * @param address {@code host:port}
 */
record Destination(String id, String connectionKey, String address) {

    static Destination of(Runner runner) {
        return new Destination(runner.id(), runner.incarnation(), runner.address());
    }
}
