package org.skylarkmast.standins;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class StandInMainTest {

    @ParameterizedTest(name = "{0}")
    @CsvSource({
        "store --port 0 --control-port 0, controlPort",
        "engine --port 0 --name e --model m --version v1 --prefill-tokens-per-second 1000"
                + " --decode-tokens-per-second 50 --cache-tokens 1000 --max-concurrent 2"
                + " --report-interval-ms 100 --checks-epoch, port",
        "service --port 0 --name s --latency-ms 5 --max-concurrent 2 --checks-epoch --lookup, port",
        "hosts --port 0, port"
    })
    void startsSelectedStandInOnFreePorts(String arguments, String port) throws Exception {
        StandInCommand command = StandInMain.parse(arguments.split(" ", -1)).orElseThrow();
        StandInCommand.RunningStandIn running = command.start();
        try {
            assertThat(running.ports().get(port)).isGreaterThan(0);
        } finally {
            running.standIn().close();
        }
    }

    @Test
    void parsesNoCommandFromNoArguments() {
        assertThat(StandInMain.parse()).isEmpty();
    }
}
