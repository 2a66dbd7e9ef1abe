package org.skylarkmast.relay.forward;

import static com.google.common.truth.Truth.assertThat;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.skylarkmast.relay.runner.Runner;
import org.skylarkmast.relay.runner.RunnerChooser;
import org.skylarkmast.relay.runner.RunnerDirectory;
import org.skylarkmast.relay.runner.RunnerPool;

class RunnerCrashDetectorTest {

    private static Runner runner(boolean draining) {
        return new Runner("r", "s", "127.0.0.1:1", "d", 4, "v1", draining, 0);
    }

    @ParameterizedTest(name = "registration {0}, connection refused {1}")
    @CsvSource({
        "ready, true, true",
        "ready, false, false",
        "draining, true, false",
        "ended, true, false"
    })
    void runnerThatAnnouncedItsEndHasNotCrashed(
            String registration, boolean refused, boolean crashed) {
        RunnerDirectory directory = new RunnerDirectory(System::nanoTime, new PrometheusRegistry());
        if (!registration.equals("ended")) {
            directory.put(runner(registration.equals("draining")));
        }
        RunnerPool pool =
                new RunnerPool(
                        directory, new RunnerChooser("d", () -> 0.5), _ -> 0, System::nanoTime);
        RunnerCrashDetector detector =
                new RunnerCrashDetector(pool, _ -> refused, new PrometheusRegistry());
        assertThat(detector.hasCrashed(runner(false))).isEqualTo(crashed);
    }
}
