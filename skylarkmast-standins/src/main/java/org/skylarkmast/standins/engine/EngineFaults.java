package org.skylarkmast.standins.engine;

/**
 * Faults of an engine; a field not given is none.
 *
 * @param slowdown factor by which all work takes longer; 0 is none
 * @param refuse answers every call 503 before any work
 * @param breakAfterTokens the next stream's connection breaks after so many tokens; 0 is none
 * @param hang no stream goes on
 * @param forgetCache drops the cache once, telling nobody
 * @param lieLoad reported in place of the running calls, if given
 * @param muteEvents cache events are lost
 */
public record EngineFaults(
        double slowdown,
        boolean refuse,
        int breakAfterTokens,
        boolean hang,
        boolean forgetCache,
        Integer lieLoad,
        boolean muteEvents) {

    /** No fault. */
    public static final EngineFaults NONE =
            new EngineFaults(0, false, 0, false, false, null, false);
}
