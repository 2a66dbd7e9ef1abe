package org.skylarkmast.standins.hosts;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import org.junit.jupiter.api.Test;
import org.skylarkmast.standins.StandInCalls;

class HostListStandInTest {
    private static final String LIST =
            "{\"hosts\":[{\"address\":\"127.0.0.1:7001\","
                    + "\"failureDomain\":\"a\",\"state\":\"LIVE\"}]}";

    @Test
    void servesNewListOnlyOnceUnfrozen() throws IOException {
        try (HostListStandIn hosts = HostListStandIn.start(0);
                StandInCalls calls = new StandInCalls(hosts.port())) {
            calls.answered("POST", "/faults", "{\"freeze\":true}");
            calls.answered("PUT", "/hosts", LIST);
            assertThat(calls.answered("GET", "/hosts", "").text())
                    .isEqualTo("{\"revision\":0,\"hosts\":[]}");
            calls.answered("POST", "/faults", "{}");
            assertThat(calls.answered("GET", "/hosts", "").text())
                    .isEqualTo("{\"revision\":1," + LIST.substring(1));
        }
    }
}
