package org.skylarkmast.relay.route;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that a request is matched by the route that is there for it. */
class RoutingConfigurationTest {
    private static final CallerLimits LIMITS = new CallerLimits(1, 1, 1, 1);

    private static Route route(String host, String prefix) {
        return new Route(
                host + prefix,
                host,
                prefix,
                RouteKind.IDEMPOTENT,
                1,
                1,
                0,
                List.of(new Route.WeightedService("s", 1)),
                1,
                false,
                1,
                false);
    }

    private static RoutingConfiguration configuration(List<Route> routes) {
        return new RoutingConfiguration(1, routes, Map.of(), LIMITS);
    }

    @ParameterizedTest(name = "Host: {0}")
    @ValueSource(strings = {"api.example", "API.Example", "api.example:80", "Api.EXAMPLE:8443"})
    void hostMatchesInAnyCaseAndWithAnyPort(String host) {
        for (String routeHost : List.of("api.example", "API.example")) {
            RoutingConfiguration configuration = configuration(List.of(route(routeHost, "/a/")));
            assertThat(configuration.match(host, "/a/b")).isNotNull();
        }
    }

    @ParameterizedTest(name = "{0} takes {1}")
    @CsvSource({"/a/b/c/d,/a/b/c/", "/a/b/c/,/a/b/c/", "/a/b/c,/a/b/", "/a/bb/,/a/", "/z,/", "/,/"})
    void longestPrefixMatchesInWhateverOrderTheRoutesAre(String path, String prefix) {
        List<Route> routes =
                new ArrayList<>(
                        List.of(
                                route("h", "/"),
                                route("h", "/a/"),
                                route("h", "/a/b/"),
                                route("h", "/a/b/c/"),
                                route("other", "/a/b/c/d/")));
        Random random = new Random(1);
        for (int round = 0; round < 50; round++) {
            Collections.shuffle(routes, random);
            assertThat(configuration(routes).match("h", path).pathPrefix()).isEqualTo(prefix);
        }
    }
}
