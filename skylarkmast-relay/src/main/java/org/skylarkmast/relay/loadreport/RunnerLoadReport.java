package org.skylarkmast.relay.loadreport;

/**
 * The requests, work and failures observed at one incarnation of a runner. Numbers are fractional
 * where an aggregate is weighted by age.
 *
 * @param incarnation the runner's incarnation
 * @param inFlight requests in flight to the runner
 * @param workMs total duration of successful requests, in ms
 * @param workUnits work done by successful requests: output tokens of a stream, 1 for any other
 *     request
 * @param ended requests that ended, successful or not
 * @param failed requests among {@code ended} that the runner failed
 */
public record RunnerLoadReport(
        String incarnation,
        int inFlight,
        double workMs,
        double workUnits,
        double ended,
        double failed) {

    /** Whether no request is in flight and none has ended. */
    public boolean isEmpty() {
        return inFlight == 0 && ended == 0;
    }
}
