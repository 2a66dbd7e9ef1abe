package org.skylarkmast.bench.decision;

/**
 * What one run measured.
 *
 * @param programs root programs that ended one way or the other
 * @param good those that ended within their deadline
 * @param late those that ended after it
 * @param failed those that did not come to their end
 * @param turnedAway those whose callers stopped asking before the first call was taken
 * @param refusals refused calls; the caller came back later
 * @param retries sends after the first
 * @param firstTokenP95Ms from the submission of a call to its first answer token
 * @param engineFirstTokenP95Ms from the engine's taking of a call to its first answer token
 * @param wastedShare prompt tokens worked off again although an engine had done so before, as a
 *     share of all prompt tokens
 * @param goodputPerS programs within their deadline per second of arrivals
 * @param jainIndex evenness of the workspaces' shares of programs in time, at most 1
 * @param leakedTokens tokens left in caches for programs that had ended
 */
record RunResult(
        int programs,
        int good,
        int late,
        int failed,
        int turnedAway,
        int refusals,
        int retries,
        double programP50Ms,
        double programP95Ms,
        double programP99Ms,
        double firstTokenP95Ms,
        double engineFirstTokenP95Ms,
        double interTokenP95Ms,
        double wastedShare,
        double goodputPerS,
        double jainIndex,
        long leakedTokens) {}
