package org.skylarkmast.relay.ledger;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tries all quorums of small views. */
class KeeperViewTest {

    private static KeeperView view(int size) {
        KeeperView view = KeeperView.NONE;
        for (int i = 0; i < size; i++) {
            view = view.with(new KeeperView.Member("k" + i, "h:" + i));
        }
        return view;
    }

    private static List<List<KeeperView.Member>> subsets(List<KeeperView.Member> all, int size) {
        List<List<KeeperView.Member>> subsets = new ArrayList<>();
        for (int mask = 0; mask < 1 << all.size(); mask++) {
            if (Integer.bitCount(mask) == size) {
                List<KeeperView.Member> subset = new ArrayList<>();
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

    private static void assertAllMeet(KeeperView older, KeeperView newer) {
        for (List<KeeperView.Member> written : subsets(older.members(), older.writeQuorum())) {
            for (List<KeeperView.Member> read : subsets(newer.members(), newer.writeQuorum())) {
                assertThat(written.stream().anyMatch(read::contains)).isTrue();
            }
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 4, 5, 6, 7})
    void quorumsOfNeighbouringViewsMeet(int size) {
        KeeperView view = view(size);
        assertAllMeet(view, view);
        assertAllMeet(view, view.with(new KeeperView.Member("new", "h:99")));
        if (size > 2) {
            for (KeeperView.Member left : view.members()) {
                assertAllMeet(view, view.without(left));
            }
        }
    }

    /** The copy on one disk is lost; whoever is asked for certainty still has another one. */
    @ParameterizedTest
    @ValueSource(ints = {2, 3, 4, 5, 6, 7})
    void certaintyOutlivesOneLostCopy(int size) {
        KeeperView view = view(size);
        for (List<KeeperView.Member> written : subsets(view.members(), view.writeQuorum())) {
            for (KeeperView.Member wiped : written) {
                List<KeeperView.Member> left = new ArrayList<>(written);
                left.remove(wiped);
                for (List<KeeperView.Member> asked :
                        subsets(view.members(), view.certaintyQuorum())) {
                    assertThat(left.stream().anyMatch(asked::contains)).isTrue();
                }
            }
        }
    }
}
