package org.skylarkmast.bench.decision;

import java.util.Optional;
import java.util.Random;
import java.util.function.IntFunction;
import org.skylarkmast.core.scheduling.CallScheduler;
import org.skylarkmast.core.scheduling.Mechanism;
import org.skylarkmast.core.scheduling.SchedulerSettings;

/** A policy under test, by name. */
sealed interface Policy {

    String label();

    /** Makes the policy of each owner of a run. */
    IntFunction<DecisionPolicy> factory(long seed);

    /** The product's scheduler, possibly without one mechanism. */
    record Product(SchedulerSettings settings, Optional<Mechanism> without) implements Policy {

        static Product whole() {
            return new Product(SchedulerSettings.defaults(), Optional.empty());
        }

        static Product lacking(Mechanism mechanism) {
            return new Product(
                    SchedulerSettings.defaults().without(mechanism), Optional.of(mechanism));
        }

        @Override
        public String label() {
            return without.map(mechanism -> "without " + mechanism).orElse("skylarkmast");
        }

        @Override
        public IntFunction<DecisionPolicy> factory(long seed) {
            return owner -> {
                Random random = new Random(seed * 31 + owner);
                return DecisionPolicy.of(new CallScheduler(settings, random::nextDouble));
            };
        }
    }

    /** A baseline. */
    record Baseline(BaselinePolicy.Choice choice) implements Policy {

        @Override
        public String label() {
            return switch (choice) {
                case ROUND_ROBIN -> "round robin";
                case LEAST_LOADED -> "least loaded";
            };
        }

        @Override
        public IntFunction<DecisionPolicy> factory(long seed) {
            return owner -> new BaselinePolicy(choice, owner);
        }
    }
}
