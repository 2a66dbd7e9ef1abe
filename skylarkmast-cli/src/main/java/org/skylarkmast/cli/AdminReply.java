package org.skylarkmast.cli;

import java.util.List;
import tools.jackson.databind.JsonNode;

/** The result of a request to the administration ports. */
sealed interface AdminReply {

    /**
     * A server answered.
     *
     * @param server address of the server
     * @param body the parsed JSON body, or a missing node if the body is not JSON
     */
    record Answered(String server, int status, JsonNode body) implements AdminReply {}

    /**
     * No server answered.
     *
     * @param reasons one for each server that was tried
     * @param mayHaveExecuted whether a server may nevertheless have executed the request
     */
    record Unreachable(List<String> reasons, boolean mayHaveExecuted) implements AdminReply {

        public Unreachable {
            reasons = List.copyOf(reasons);
        }
    }
}
