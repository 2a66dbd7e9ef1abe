package org.skylarkmast.cli;

import java.util.List;
import tools.jackson.databind.JsonNode;

/** What came back from the servers. */
sealed interface AdminReply {

    /**
     * A server answered.
     *
     * @param server its address
     * @param body JSON of the answer, or a missing node if it is none
     */
    record Answered(String server, int status, JsonNode body) implements AdminReply {}

    /**
     * No server answered.
     *
     * @param reasons one for each server tried
     * @param mayHaveRun whether a server may have carried the request out all the same
     */
    record Unreachable(List<String> reasons, boolean mayHaveRun) implements AdminReply {

        public Unreachable {
            reasons = List.copyOf(reasons);
        }
    }
}
