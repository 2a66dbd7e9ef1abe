package org.skylarkmast.core.config;

import java.util.Arrays;
import java.util.Optional;

/** Maps {@link Target.Kind} to and from its name in JSON. */
final class TargetKindNames {
    private TargetKindNames() {}

    static String wireName(Target.Kind kind) {
        return switch (kind) {
            case MODEL_ENGINE -> "model-engine";
            case PLAIN_SERVICE -> "plain-service";
        };
    }

    static Optional<Target.Kind> fromWireName(String wireName) {
        return Arrays.stream(Target.Kind.values())
                .filter(kind -> wireName(kind).equals(wireName))
                .findFirst();
    }

    static String wireNames() {
        return String.join(
                " or ",
                Arrays.stream(Target.Kind.values()).map(TargetKindNames::wireName).toList());
    }
}
