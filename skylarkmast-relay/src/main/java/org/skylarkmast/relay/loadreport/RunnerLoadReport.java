package org.skylarkmast.relay.loadreport;

/**
 * What was seen of one incarnation of a runner.
 *
 * @param incarnation the runner's incarnation
 * @param underWay requests under way there
 * @param workMs time that successful requests took, in ms
 * @param workUnits work that they did: output tokens of streams, 1 for others
 * @param ended requests that ended, well or not
 * @param failed requests of these that the runner failed
 */
public record RunnerLoadReport(
        String incarnation,
        int underWay,
        double workMs,
        double workUnits,
        double ended,
        double failed) {

    /** Whether it says nothing. */
    public boolean isEmpty() {
        return underWay == 0 && ended == 0;
    }
}
