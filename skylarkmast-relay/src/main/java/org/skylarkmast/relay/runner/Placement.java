package org.skylarkmast.relay.runner;

/**
 * What a request asks of the runner that gets it, besides its work.
 *
 * @param affinityKey names the object that the request is about; empty if runners do not serve
 *     requests about an object faster after others
 * @param tokens tokens that the request holds in the runner's memory at its end, 0 if unknown
 * @param capacityTokens tokens for which a runner of the service has memory, 0 if unknown
 */
public record Placement(String affinityKey, long tokens, long capacityTokens) {

    /** Any runner will do. */
    public static final Placement ANY = new Placement("", 0, 0);

    /** Creates what a request asks whose tokens are unknown. */
    public Placement(String affinityKey) {
        this(affinityKey, 0, 0);
    }

    /** Whether the memory of runners limits what is sent to them. */
    boolean isBoundByMemory() {
        return tokens > 0 && capacityTokens > 0;
    }
}
