package org.skylarkmast.bench.load;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.skylarkmast.bench.caller.CallerRequest;

class LoadProfileTest {
    private static final int PROGRAMS = 50;

    static Stream<LoadProfile> profiles() {
        return Stream.of(LoadProfile.WORKSHOPS, LoadProfile.CONSORTIUM);
    }

    @ParameterizedTest
    @MethodSource("profiles")
    void isDeterministicForASeed(LoadProfile profile) {
        assertThat(profile.script(7, 3)).isEqualTo(profile.script(7, 3));
        assertThat(profile.script(7, 3)).isNotEqualTo(profile.script(8, 3));
    }

    @ParameterizedTest
    @MethodSource("profiles")
    void requestKeysAndTextsAreUnique(LoadProfile profile) {
        List<CallerRequest> requests = requests(profile);
        assertThat(requests.stream().map(CallerRequest::key).toList()).containsNoDuplicates();
        assertThat(requests.stream().map(CallerRequest::text).toList()).containsNoDuplicates();
    }

    @ParameterizedTest
    @MethodSource("profiles")
    void containsNonRepeatableCallsAndSubAgents(LoadProfile profile) {
        List<CallerRequest> requests = requests(profile);
        assertThat(requests.stream().anyMatch(request -> !request.repeatable())).isTrue();
        assertThat(requests.stream().anyMatch(request -> request.program().contains("/"))).isTrue();
    }

    private static List<CallerRequest> requests(LoadProfile profile) {
        List<CallerRequest> requests = new ArrayList<>();
        IntStream.range(0, PROGRAMS).forEach(i -> collect(profile.script(7, i), requests));
        return requests;
    }

    private static void collect(ProgramScript script, List<CallerRequest> requests) {
        for (Step step : script.steps()) {
            switch (step) {
                case Step.Call call -> requests.add(call.request());
                case Step.SubAgents agents ->
                        agents.scripts().forEach(child -> collect(child, requests));
                case Step.Pause ignored -> {}
            }
        }
    }
}
