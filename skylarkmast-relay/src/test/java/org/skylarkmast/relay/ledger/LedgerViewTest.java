package org.skylarkmast.relay.ledger;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Checks every combination of quorums in small views. */
class LedgerViewTest {

    private static LedgerView view(int size) {
        LedgerView view = LedgerView.NONE;
        for (int i = 0; i < size; i++) {
            view = view.with(new LedgerView.Member("n" + i, "h:" + i));
        }
        return view;
    }

    private static List<List<LedgerView.Member>> subsets(List<LedgerView.Member> all, int size) {
        List<List<LedgerView.Member>> subsets = new ArrayList<>();
        for (int mask = 0; mask < 1 << all.size(); mask++) {
            if (Integer.bitCount(mask) == size) {
                List<LedgerView.Member> subset = new ArrayList<>();
                for (int i = 0; i < all.size(); i++) {
                    if ((mask >> i & 1) == 1) {
                        subset.add(all.get(i));
                    }
                }
                subsets.add(subset);
            }
        }
        return subsets;
    }

    private static void assertQuorumsOverlap(LedgerView older, LedgerView newer) {
        for (List<LedgerView.Member> written : subsets(older.members(), older.writeQuorum())) {
            for (List<LedgerView.Member> read : subsets(newer.members(), newer.writeQuorum())) {
                assertThat(written.stream().anyMatch(read::contains)).isTrue();
            }
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 4, 5, 6, 7})
    void quorumsOfConsecutiveViewsOverlap(int size) {
        LedgerView view = view(size);
        assertQuorumsOverlap(view, view);
        assertQuorumsOverlap(view, view.with(new LedgerView.Member("new", "h:99")));
        if (size > 2) {
            for (LedgerView.Member leaving : view.members()) {
                assertQuorumsOverlap(view, view.without(leaving));
            }
        }
    }

    /**
     * Guards against reporting an acknowledged record as absent: after one disk that held a copy is
     * lost, every absence quorum must still contain another copy.
     */
    @ParameterizedTest
    @ValueSource(ints = {2, 3, 4, 5, 6, 7})
    void absenceQuorumSeesRecordAfterLossOfOneCopy(int size) {
        LedgerView view = view(size);
        for (List<LedgerView.Member> written : subsets(view.members(), view.writeQuorum())) {
            for (LedgerView.Member wiped : written) {
                List<LedgerView.Member> remaining = new ArrayList<>(written);
                remaining.remove(wiped);
                for (List<LedgerView.Member> quorum :
                        subsets(view.members(), view.absenceQuorum())) {
                    assertThat(remaining.stream().anyMatch(quorum::contains)).isTrue();
                }
            }
        }
    }
}
