package org.skylarkmast.core.key;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.AlphaChars;
import net.jqwik.api.constraints.StringLength;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ProgramKeyTest {

    @ParameterizedTest
    @CsvSource({"job-1, job-1, 0", "job-1/parts, job-1, 1", "job-1/parts/price, job-1, 2"})
    void knowsItsRootAndDepth(String id, String rootId, int depth) {
        ProgramKey key = new ProgramKey("cycle", id);
        assertThat(key.rootId()).isEqualTo(rootId);
        assertThat(key.depth()).isEqualTo(depth);
    }

    @Property(seed = "7", tries = 200)
    void keepsSubAgentsInThePartitionOfTheirRoot(
            @ForAll @AlphaChars @StringLength(min = 1, max = 20) String root,
            @ForAll @AlphaChars @StringLength(min = 1, max = 20) String child) {
        int partition = new ProgramKey("cycle", root).partition();
        assertThat(new ProgramKey("cycle", root + "/" + child).partition()).isEqualTo(partition);
        assertThat(partition).isAtLeast(0);
        assertThat(partition).isLessThan(ProgramKey.PARTITIONS);
    }
}
