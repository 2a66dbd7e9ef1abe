package org.skylarkmast.relay.keeper;

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
import org.skylarkmast.relay.ledger.KeeperView;

class ViewChangeTest {
    private static final KeeperView.Member A = new KeeperView.Member("a", "a:1");
    private static final KeeperView.Member B = new KeeperView.Member("b", "b:1");
    private static final KeeperView.Member C = new KeeperView.Member("c", "c:1");
    private static final KeeperView.Member D = new KeeperView.Member("d", "d:1");
    private static final KeeperView ABC = new KeeperView(5, List.of(A, B, C));
    private static final KeeperView ABCD = new KeeperView(5, List.of(A, B, C, D));
    private static final long LONG_MS = ViewChange.GONE_AFTER_MS + 1;

    /** How one keeper looks: reachable and synced, reachable and behind, or silent. */
    private enum Look {
        SYNCED,
        BEHIND,
        SILENT,
        GONE
    }

    private static ViewChange.Peer peer(KeeperView view, Look look) {
        KeeperStatus synced = new KeeperStatus(view, true, view.version());
        return switch (look) {
            case SYNCED -> new ViewChange.Peer(synced, 0);
            case BEHIND -> new ViewChange.Peer(new KeeperStatus(view, true, 1), 0);
            case SILENT -> new ViewChange.Peer(synced, 3000);
            case GONE -> new ViewChange.Peer(synced, LONG_MS);
        };
    }

    static Stream<Arguments> cases() {
        return Stream.of(
                Arguments.of("nothing to do", ABC, looks(ABC, ""), List.of(), Set.of(), null),
                Arguments.of(
                        "a new keeper is added",
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
                        "the least number of keepers is kept",
                        new KeeperView(5, List.of(A, B)),
                        looks(new KeeperView(5, List.of(A, B)), ""),
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

    private static Map<KeeperView.Member, ViewChange.Peer> looks(
            KeeperView view, String others, KeeperView.Member... more) {
        Map<KeeperView.Member, ViewChange.Peer> peers = new HashMap<>();
        List<KeeperView.Member> all = new ArrayList<>(view.members());
        all.addAll(List.of(more));
        for (KeeperView.Member member : all) {
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
            KeeperView view,
            Map<KeeperView.Member, ViewChange.Peer> peers,
            List<KeeperView.Member> candidates,
            Set<String> retiring,
            KeeperView expected) {
        assertThat(ViewChange.next(view, peers, candidates, retiring, 2)).isEqualTo(expected);
    }
}
