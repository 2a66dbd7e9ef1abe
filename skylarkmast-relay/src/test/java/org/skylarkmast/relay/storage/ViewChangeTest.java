package org.skylarkmast.relay.storage;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.skylarkmast.relay.ledger.LedgerView;

class ViewChangeTest {
    private static final LedgerView.Member A = new LedgerView.Member("a", "a:1");
    private static final LedgerView.Member B = new LedgerView.Member("b", "b:1");
    private static final LedgerView.Member C = new LedgerView.Member("c", "c:1");
    private static final LedgerView.Member D = new LedgerView.Member("d", "d:1");
    private static final LedgerView ABC = new LedgerView(5, List.of(A, B, C));
    private static final LedgerView ABCD = new LedgerView(5, List.of(A, B, C, D));
    private static final long LONG_MS = ViewChange.GONE_AFTER_MS + 1;

    /** How one storage node looks: reachable and synced, reachable and behind, or silent. */
    private enum Look {
        SYNCED,
        BEHIND,
        SILENT,
        GONE
    }

    private static ViewChange.Peer peer(LedgerView view, Look look) {
        StorageNodeStatus synced = new StorageNodeStatus(view, true, view.version());
        return switch (look) {
            case SYNCED -> new ViewChange.Peer(synced, 0);
            case BEHIND -> new ViewChange.Peer(new StorageNodeStatus(view, true, 1), 0);
            case SILENT -> new ViewChange.Peer(synced, 3000);
            case GONE -> new ViewChange.Peer(synced, LONG_MS);
        };
    }

    static Stream<Arguments> cases() {
        return Stream.of(
                Arguments.of("nothing to do", ABC, looks(ABC, ""), List.of(), Set.of(), null),
                Arguments.of(
                        "a new storage node is added",
                        ABC,
                        looks(ABC, "", D),
                        List.of(A, B, C, D),
                        Set.of(),
                        ABC.with(D)),
                Arguments.of(
                        "not while too few hold everything",
                        ABC,
                        looks(ABC, "b=BEHIND c=BEHIND", D),
                        List.of(A, B, C, D),
                        Set.of(),
                        null),
                Arguments.of(
                        "a new one that does not answer is not added",
                        ABC,
                        looks(ABC, "d=SILENT", D),
                        List.of(D),
                        Set.of(),
                        null),
                Arguments.of(
                        "a new one that has not fetched is not added",
                        ABC,
                        looks(ABC, "d=BEHIND", D),
                        List.of(D),
                        Set.of(),
                        null),
                Arguments.of(
                        "a new one to be emptied is not added",
                        ABC,
                        looks(ABC, "", D),
                        List.of(D),
                        Set.of("d"),
                        null),
                Arguments.of(
                        "one to be emptied leaves",
                        ABC,
                        looks(ABC, ""),
                        List.of(),
                        Set.of("b"),
                        ABC.without(B)));
    }

    static Stream<Arguments> departures() {
        return Stream.of(
                Arguments.of(
                        "one gone leaves an even number",
                        ABCD,
                        looks(ABCD, "c=GONE"),
                        List.of(),
                        Set.of(),
                        ABCD.without(C)),
                Arguments.of(
                        "one silent for a while stays",
                        ABCD,
                        looks(ABCD, "c=SILENT"),
                        List.of(),
                        Set.of(),
                        null),
                Arguments.of(
                        "one gone stays where the quorum would not shrink",
                        ABC,
                        looks(ABC, "c=GONE"),
                        List.of(),
                        Set.of(),
                        null),
                Arguments.of(
                        "the least number of storage nodes is kept",
                        new LedgerView(5, List.of(A, B)),
                        looks(new LedgerView(5, List.of(A, B)), ""),
                        List.of(),
                        Set.of("b"),
                        null),
                Arguments.of(
                        "one to be emptied stays while the rest has no quorum",
                        ABC,
                        looks(ABC, "c=GONE"),
                        List.of(),
                        Set.of("b"),
                        null));
    }

    private static Map<LedgerView.Member, ViewChange.Peer> looks(
            LedgerView view, String others, LedgerView.Member... more) {
        Map<LedgerView.Member, ViewChange.Peer> peers = new HashMap<>();
        List<LedgerView.Member> all = new ArrayList<>(view.members());
        all.addAll(List.of(more));
        for (LedgerView.Member member : all) {
            Look look = Look.SYNCED;
            for (String other : others.split(" ", -1)) {
                if (other.startsWith(member.node() + "=")) {
                    look = Look.valueOf(other.substring(2));
                }
            }
            peers.put(member, peer(view, look));
        }
        return peers;
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource({"cases", "departures"})
    void choosesTheNextView(
            String name,
            LedgerView view,
            Map<LedgerView.Member, ViewChange.Peer> peers,
            List<LedgerView.Member> candidates,
            Set<String> retiring,
            LedgerView expected) {
        assertThat(ViewChange.next(view, peers, candidates, retiring, 2)).isEqualTo(expected);
    }
}
