package org.skylarkmast.standins.engine;

/**
 * Injected faults of an engine; a missing field means no fault.
 *
 * @param slowdown factor by which all work takes longer, or 0 for none
 * @param refuse whether every call is answered 503 without being run
 * @param breakAfterTokens number of tokens after which the connection of the next stream breaks, or
 *     0 for none
 * @param hang whether no stream produces tokens
 * @param forgetCache whether to clear the cache once without cache events
 * @param lieLoad number of running calls to report in place of the real one, or null
 * @param muteEvents whether cache events are lost
 */
public record EngineFaults(
        double slowdown,
        boolean refuse,
        int breakAfterTokens,
        boolean hang,
        boolean forgetCache,
        Integer lieLoad,
        boolean muteEvents) {

    /** No faults. */
    public static final EngineFaults NONE =
            new EngineFaults(0, false, 0, false, false, null, false);
}
