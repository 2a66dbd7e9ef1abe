package org.skylarkmast.relay.forward;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.skylarkmast.relay.ledger.StreamOrigin;
import org.skylarkmast.relay.runner.Runner;

class OriginBindingTest {
    private static final StreamOrigin V1 = new StreamOrigin("s", "v1");

    private final List<StreamOrigin> recorded = new ArrayList<>();

    private static Runner runner(String softwareVersion) {
        return new Runner("r", "s", "10.0.0.1:1", "z", 4, softwareVersion, false, 0);
    }

    @ParameterizedTest(name = "recorded before {0}, events {1}, record succeeds {2}: {3}")
    @CsvSource({
        "true, false, true, true",
        "true, false, false, false",
        "true, true, true, false",
        "false, false, true, true",
        "false, false, false, true"
    })
    void changesVersionOnlyBeforeTheFirstEventAndIfThatIsRecorded(
            boolean recordedBefore, boolean hasEvents, boolean recordSucceeds, boolean allowed)
            throws InterruptedException {
        OriginBinding binding =
                OriginBinding.ofNewStream(
                        recordedBefore ? V1 : null, _ -> recordSucceeds, () -> hasEvents);
        assertThat(binding.rebind(runner("v2"))).isEqualTo(allowed);
        assertThat(binding.allows(runner("v2"))).isEqualTo(allowed);
        assertThat(binding.allows(runner("v1"))).isEqualTo(recordedBefore && !allowed);
    }

    @Test
    void recordsEachVersionBeforeTheRequestIsSentToIt() throws InterruptedException {
        AtomicBoolean hasEvents = new AtomicBoolean();
        OriginBinding binding = OriginBinding.ofNewStream(V1, recorded::add, hasEvents::get);
        assertThat(binding.rebind(runner("v1"))).isTrue();
        assertThat(recorded).isEmpty();
        assertThat(binding.rebind(runner("v2"))).isTrue();
        assertThat(recorded).containsExactly(new StreamOrigin("s", "v2"));
        hasEvents.set(true);
        assertThat(binding.isFixed()).isTrue();
        assertThat(binding.rebind(runner("v1"))).isFalse();
    }

    @Test
    void resumedStreamKeepsItsVersion() throws InterruptedException {
        OriginBinding binding = OriginBinding.ofResumedStream(V1);
        assertThat(binding.allows(runner("v1"))).isTrue();
        assertThat(binding.rebind(runner("v2"))).isFalse();
        assertThat(binding.allows(runner("v2"))).isFalse();
    }

    @Test
    void requestThatCannotBeResumedMayBeSentToAnyVersion() {
        OriginBinding binding = OriginBinding.unrestricted();
        assertThat(binding.allows(runner("v1"))).isTrue();
        assertThat(binding.allows(runner("v2"))).isTrue();
        assertThat(binding.isFixed()).isFalse();
    }
}
