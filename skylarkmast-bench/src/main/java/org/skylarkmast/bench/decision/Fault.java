package org.skylarkmast.bench.decision;

import java.util.List;

/**
 * Something that goes wrong in the middle of a run.
 *
 * @param fromNs when it begins
 * @param untilNs when it is over
 */
record Fault(Kind kind, long fromNs, long untilNs) {

    /** What goes wrong. */
    enum Kind {
        /** Nothing. */
        NONE,
        /** The second engine and the second service runner are down. */
        RUNNER_DIES,
        /** The fastest engine and service runner take five times as long. */
        RUNNER_SLOWS,
        /** The slowest engine reports that it is idle. */
        RUNNER_LIES,
        /** The fastest engine restarts at once with an empty cache. */
        CACHE_RESTART,
        /** All runners of the first failure domain are down. */
        DOMAIN_GOES
    }

    static Fault of(Kind kind, LoadProfile profile) {
        long durationNs = profile.durationNs();
        return new Fault(kind, durationNs * 3 / 10, durationNs * 6 / 10);
    }

    /** The runners that it befalls, out of {@code engines} and {@code services}. */
    List<FakeRunners.FakeRunner> victims(
            List<? extends FakeRunners.FakeRunner> engines,
            List<? extends FakeRunners.FakeRunner> services) {
        return switch (kind) {
            case NONE -> List.of();
            case RUNNER_DIES -> List.of(engines.get(1), services.get(1));
            case RUNNER_SLOWS -> List.of(engines.get(0), services.get(0));
            case RUNNER_LIES -> List.of(engines.getLast());
            case CACHE_RESTART -> List.of(engines.get(0));
            case DOMAIN_GOES ->
                    java.util.stream.Stream.<FakeRunners.FakeRunner>concat(
                                    engines.stream(), services.stream())
                            .filter(
                                    runner ->
                                            runner.failureDomain.equals(
                                                    engines.getFirst().failureDomain))
                            .toList();
        };
    }
}
