package org.skylarkmast.core.key;

import static com.google.common.truth.Truth.assertThat;

import java.util.Random;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

class ProgramKeyTest {

    @ParameterizedTest
    @CsvSource({"job-1, job-1, 0", "job-1/parts, job-1, 1", "job-1/parts/price, job-1, 2"})
    void returnsRootIdAndDepth(String id, String rootId, int depth) {
        ProgramKey key = new ProgramKey("cycle", id);
        assertThat(key.rootId()).isEqualTo(rootId);
        assertThat(key.depth()).isEqualTo(depth);
    }

    static Stream<Arguments> names() {
        Random random = new Random(7);
        return Stream.generate(() -> Arguments.of(name(random), name(random))).limit(200);
    }

    private static String name(Random random) {
        String letters = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ";
        StringBuilder name = new StringBuilder();
        int length = 1 + random.nextInt(20);
        for (int i = 0; i < length; i++) {
            name.append(letters.charAt(random.nextInt(letters.length())));
        }
        return name.toString();
    }

    @ParameterizedTest
    @MethodSource("names")
    void subAgentsAreInThePartitionOfTheirRoot(String root, String child) {
        int partition = new ProgramKey("cycle", root).partition();
        assertThat(new ProgramKey("cycle", root + "/" + child).partition()).isEqualTo(partition);
        assertThat(partition).isAtLeast(0);
        assertThat(partition).isLessThan(ProgramKey.PARTITIONS);
    }
}
