package org.skylarkmast.core.config;

import java.util.Arrays;
import java.util.Optional;

/** How {@link Target.Kind} is written in JSON. */
final class TargetType {
    private TargetType() {}

    static String word(Target.Kind kind) {
        return switch (kind) {
            case MODEL_ENGINE -> "model-engine";
            case PLAIN_SERVICE -> "plain-service";
        };
    }

    static Optional<Target.Kind> ofWord(String word) {
        return Arrays.stream(Target.Kind.values())
                .filter(kind -> word(kind).equals(word))
                .findFirst();
    }

    static String words() {
        return String.join(
                " or ", Arrays.stream(Target.Kind.values()).map(TargetType::word).toList());
    }
}
