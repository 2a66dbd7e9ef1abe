package org.skylarkmast.bench.decision;

import java.util.Optional;
import java.util.Random;
import java.util.function.IntFunction;
import org.skylarkmast.core.scheduling.CallScheduler;
import org.skylarkmast.core.scheduling.Mechanism;
import org.skylarkmast.core.scheduling.SchedulerSettings;

/** A policy that the benchmark measures, with the name that the results give it. */
sealed interface PolicyUnderTest {

    String label();

    /** Returns a factory that creates the policy of the owner with the given index. */
    IntFunction<DecisionPolicy> factory(long seed);

    /** The product's scheduler, with all mechanisms or with one of them disabled. */
    record Product(SchedulerSettings settings, Optional<Mechanism> disabledMechanism)
            implements PolicyUnderTest {

        static Product withAllMechanisms() {
            return new Product(SchedulerSettings.defaults(), Optional.empty());
        }

        static Product withoutMechanism(Mechanism mechanism) {
            return new Product(
                    SchedulerSettings.defaults().without(mechanism), Optional.of(mechanism));
        }

        @Override
        public String label() {
            return disabledMechanism.map(mechanism -> "without " + mechanism).orElse("skylarkmast");
        }

        @Override
        public IntFunction<DecisionPolicy> factory(long seed) {
            return owner -> {
                Random random = new Random(seed * 31 + owner);
                return DecisionPolicy.of(new CallScheduler(settings, random::nextDouble));
            };
        }
    }

    /** A baseline to compare the product's scheduler with. */
    record Baseline(BaselinePolicy.RunnerSelection selection) implements PolicyUnderTest {

        @Override
        public String label() {
            return switch (selection) {
                case ROUND_ROBIN -> "round robin";
                case LEAST_LOADED -> "least loaded";
            };
        }

        @Override
        public IntFunction<DecisionPolicy> factory(long seed) {
            return owner -> new BaselinePolicy(selection, owner);
        }
    }
}
