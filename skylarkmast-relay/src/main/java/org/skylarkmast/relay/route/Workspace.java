package org.skylarkmast.relay.route;

import java.util.OptionalInt;

/**
 * A workspace as the operators declare it: the owner of callers' keys.
 *
 * @param priority priority of its requests, 0 is the highest; empty if that of the route applies
 * @param requestsPerSecond requests a second that it may make through all entry nodes together; 0
 *     if it is not limited
 * @param burst requests that it may make beyond that rate at once
 */
public record Workspace(String name, OptionalInt priority, double requestsPerSecond, double burst) {

    public Workspace {
        if (!(requestsPerSecond >= 0) || !(burst >= 0)) {
            throw new IllegalArgumentException(
                    "allowance out of range: " + requestsPerSecond + "/s, burst " + burst);
        }
    }

    /** Whether the workspace's requests are limited. */
    public boolean isLimited() {
        return requestsPerSecond > 0;
    }
}
