package org.skylarkmast.relay.limit;

import java.util.List;

/**
 * An entry node's request for tokens of workspaces that have the same granter.
 *
 * @param node name of the entry node
 * @param items one for each workspace
 */
public record LeaseRequest(String node, List<Item> items) {

    public LeaseRequest {
        items = List.copyOf(items);
    }

    /**
     * A request for tokens of one workspace.
     *
     * @param workspace name of the workspace
     * @param version version of the configuration that states the allowance
     * @param requestsPerSecond rate of the allowance, above 0
     * @param burst burst of the allowance, at least 0
     * @param waiting requests that wait for a token
     * @param wanted tokens that the node can use while the lease is valid, at least {@code waiting}
     * @param returned leased tokens that were not used
     * @param ownShareUsed requests that were admitted without a token while the granter did not
     *     answer
     */
    public record Item(
            String workspace,
            long version,
            double requestsPerSecond,
            double burst,
            int waiting,
            int wanted,
            int returned,
            int ownShareUsed) {

        public Item {
            if (!(requestsPerSecond > 0) || !(burst >= 0)) {
                throw new IllegalArgumentException(
                        "allowance out of range: " + requestsPerSecond + "/s, burst " + burst);
            }
            if (waiting < 0 || wanted < waiting || returned < 0 || ownShareUsed < 0) {
                throw new IllegalArgumentException("token count out of range");
            }
        }
    }
}
