package org.skylarkmast.daemon.membership;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.skylarkmast.core.membership.HostList;

class HostListPollerTest {

    @Test
    void parsesHostsAndIgnoresUnknownFields() {
        Optional<HostList> hosts =
                parse(
                        """
                        {"revision":9,"more":1,"hosts":[
                         {"address":"10.0.0.1:7000","failureDomain":"a","state":"LIVE","x":2},
                         {"address":"10.0.0.2:7000","failureDomain":"b","state":"LEAVING"}]}""");
        assertThat(hosts.orElseThrow().revision()).isEqualTo(9);
        assertThat(hosts.orElseThrow().hosts())
                .containsExactly(
                        new HostList.Host("10.0.0.1:7000", false),
                        new HostList.Host("10.0.0.2:7000", true));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "not json",
                "{}",
                "[]",
                "{\"revision\":1,\"hosts\":[{\"state\":\"LIVE\"}]}",
                "{\"revision\":1,\"hosts\":[{\"address\":\"h:1\"}]}"
            })
    void returnsNoListForAnInvalidBody(String body) {
        assertThat(parse(body)).isEqualTo(Optional.empty());
    }

    private static Optional<HostList> parse(String body) {
        return HostListPoller.parse(body.getBytes(StandardCharsets.UTF_8));
    }
}
