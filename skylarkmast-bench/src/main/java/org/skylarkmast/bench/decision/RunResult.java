package org.skylarkmast.bench.decision;

/**
 * The measurements of one run.
 *
 * @param programs root programs that completed or failed
 * @param good programs that completed within their deadline
 * @param late programs that completed after their deadline
 * @param failed programs that were admitted but did not complete
 * @param turnedAway programs whose callers stopped retrying before the first call was admitted
 * @param refusals refusals, including repeated ones of the same call; the caller retries later
 * @param retries attempts after the first one of each call
 * @param firstTokenP95Ms from the submission of a call to its first output token
 * @param engineFirstTokenP95Ms from the arrival of a call at the engine to its first output token
 * @param wastedShare prompt tokens processed again although an engine had processed them before, as
 *     a share of all prompt tokens
 * @param goodputPerS programs completed within their deadline per second of the arrival period
 * @param jainIndex Jain's fairness index of the workspaces' shares of programs in time, at most 1
 * @param leakedTokens tokens still cached at the end of the run for programs that had ended
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
