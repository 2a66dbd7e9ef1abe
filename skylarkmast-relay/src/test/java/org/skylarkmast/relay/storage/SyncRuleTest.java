package org.skylarkmast.relay.storage;

import static com.google.common.truth.Truth.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.skylarkmast.relay.ledger.LedgerView;

/** Tests which storage nodes must be read before a storage node counts as synced. */
class SyncRuleTest {
    private static final LedgerView.Member A = new LedgerView.Member("a", "a:1");
    private static final LedgerView.Member B = new LedgerView.Member("b", "b:1");
    private static final LedgerView.Member C = new LedgerView.Member("c", "c:1");
    private static final LedgerView.Member D = new LedgerView.Member("d", "d:1");
    private static final LedgerView ABC = new LedgerView(5, List.of(A, B, C));
    private static final LedgerView ABCD = new LedgerView(5, List.of(A, B, C, D));
    private static final LedgerView FIRST = new LedgerView(1, List.of(A));

    /** Returns the storage nodes read, given as {@code "a=5 b=4"}. */
    private static Map<LedgerView.Member, Long> read(String versions) {
        Map<LedgerView.Member, Long> read = new HashMap<>();
        for (LedgerView.Member member : ABCD.members()) {
            for (long version = 1; version <= 5; version++) {
                if (versions.contains(member.node() + "=" + version)) {
                    read.put(member, version);
                }
            }
        }
        return read;
    }

    static Stream<Arguments> cases() {
        return Stream.of(
                Arguments.of("the first member of all", FIRST, LedgerView.NONE, A, 0, "", true),
                Arguments.of("a candidate of the first view", FIRST, null, B, 0, "", false),
                Arguments.of("a candidate that read it", FIRST, null, B, 0, "a=1", true),
                Arguments.of("a blank disk, one of four", ABCD, null, D, 0, "a=5", false),
                Arguments.of("a blank disk, two of four", ABCD, null, D, 0, "a=5 b=5", true),
                Arguments.of("a blank disk, two behind", ABCD, null, D, 0, "a=4 b=5", false),
                Arguments.of("a blank disk, outsiders", ABC, null, C, 0, "a=5 d=5", false),
                Arguments.of("a synced source", ABCD, null, A, 2, "c=5", true),
                Arguments.of("a synced source outside the view", ABC, null, A, 2, "d=5", true),
                Arguments.of("all sources too far behind", ABCD, null, A, 3, "b=3 c=3 d=3", false),
                Arguments.of("behind, others synced before", ABCD, null, A, 3, "b=4 c=3", true),
                Arguments.of("half of the previous four", ABCD.without(D), ABCD, A, 5, "b=5", true),
                Arguments.of("alone of the previous four", ABCD.without(D), ABCD, A, 5, "", false),
                Arguments.of("one of the previous three", ABC.with(D), ABC, A, 5, "d=5", false),
                Arguments.of("two of the previous three", ABC.with(D), ABC, A, 5, "c=5", true),
                Arguments.of("one of them behind", ABC.with(D), ABC, A, 5, "c=2", true),
                Arguments.of("behind itself", ABC.with(D), ABC, A, 2, "c=5", true),
                Arguments.of("both of them behind", ABC.with(D), ABC, A, 4, "c=4", false),
                Arguments.of("the previous view unknown", ABC.with(D), null, A, 5, "c=5", false),
                Arguments.of("half of the present four", ABC.with(D), null, A, 5, "c=5 d=5", true));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("cases")
    void tellsWhetherASyncIsComplete(
            String name,
            LedgerView view,
            LedgerView previous,
            LedgerView.Member self,
            long ownVersion,
            String versions,
            boolean complete) {
        assertThat(SyncRule.isComplete(view, previous, self, ownVersion, read(versions)))
                .isEqualTo(complete);
    }
}
