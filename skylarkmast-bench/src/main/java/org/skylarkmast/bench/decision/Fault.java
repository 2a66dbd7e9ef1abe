package org.skylarkmast.bench.decision;

import java.util.List;

/**
 * A fault that is injected in the middle of a run.
 *
 * @param startNs when it begins, in ns of the virtual clock
 * @param endNs when it ends, in ns of the virtual clock
 */
record Fault(Kind kind, long startNs, long endNs) {

    /** The kind of failure. */
    enum Kind {
        /** No fault. */
        NONE,
        /** The second engine and the second service runner are down. */
        RUNNER_DIES,
        /** The fastest engine and the fastest service runner take five times as long. */
        RUNNER_SLOWS,
        /** The slowest engine reports that it is idle whatever its load. */
        RUNNER_LIES,
        /** The fastest engine restarts immediately, with an empty cache. */
        CACHE_RESTART,
        /** All runners of the first failure domain are down. */
        DOMAIN_GOES
    }

    static Fault of(Kind kind, LoadProfile profile) {
        long durationNs = profile.durationNs();
        return new Fault(kind, durationNs * 3 / 10, durationNs * 6 / 10);
    }

    /** The runners affected, out of {@code engines} and {@code services}. */
    List<FakeRunners.FakeRunner> affectedRunners(
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
