package org.skylarkmast.relay.runner;

/**
 * Slope of a line through samples that count less as others follow, drawn towards a prior slope
 * while the samples tell little. Callers synchronize.
 */
final class RidgeSlope {

    /** Weight that the earlier samples keep at each new one: about 200 samples count. */
    private static final double RETENTION = 0.995;

    private final double priorSlope;
    private final double priorSpread;
    private double count;
    private double meanX;
    private double meanY;
    private double spread;
    private double covariation;

    /**
     * @param priorSpread sum of squared deviations of x at which the samples count as much as the
     *     prior
     */
    RidgeSlope(double priorSlope, double priorSpread) {
        this.priorSlope = priorSlope;
        this.priorSpread = priorSpread;
    }

    void add(double x, double y) {
        count = count * RETENTION + 1;
        spread *= RETENTION;
        covariation *= RETENTION;
        double deviationX = x - meanX;
        meanX += deviationX / count;
        meanY += (y - meanY) / count;
        spread += deviationX * (x - meanX);
        covariation += deviationX * (y - meanY);
    }

    /** Returns the estimated slope. */
    double slope() {
        return (covariation + priorSpread * priorSlope) / (spread + priorSpread);
    }

    /** Returns the estimate of y at {@code x}; with no sample the prior line through the origin. */
    double at(double x) {
        return meanY + slope() * (x - meanX);
    }
}
