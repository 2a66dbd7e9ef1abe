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
    private static final LedgerView.Member E = new LedgerView.Member("e", "e:1");
    private static final LedgerView AB = new LedgerView(5, List.of(A, B));
    private static final LedgerView ABC = new LedgerView(5, List.of(A, B, C));
    private static final LedgerView ABCD = new LedgerView(5, List.of(A, B, C, D));
    private static final long LOST_MS = ViewChange.LOST_AFTER_MS + 1;

    /**
     * The state of a storage node: reachable and synced, reachable but not synced, reachable until
     * the last ping, without a response for a short time, for long enough to be removed from a view
     * without a quorum, or from any.
     */
    private enum PeerState {
        SYNCED,
        BEHIND,
        UNCERTAIN,
        SILENT,
        WITHOUT_RESPONSE,
        GONE
    }

    private static ViewChange.Peer peer(LedgerView view, PeerState state) {
        StorageNodeStatus synced = new StorageNodeStatus(view, true, view.version());
        return switch (state) {
            case SYNCED -> new ViewChange.Peer(synced, 0, false);
            case BEHIND -> new ViewChange.Peer(new StorageNodeStatus(view, true, 1), 0, false);
            case UNCERTAIN -> new ViewChange.Peer(synced, 400, true);
            case SILENT -> new ViewChange.Peer(synced, 3000, true);
            case WITHOUT_RESPONSE ->
                    new ViewChange.Peer(synced, ViewChange.SILENT_AFTER_MS + 1, true);
            case GONE -> new ViewChange.Peer(synced, LOST_MS, true);
        };
    }

    static Stream<Arguments> cases() {
        return Stream.of(
                Arguments.of("no change", ABC, peers(ABC, ""), List.of(), Set.of(), null),
                Arguments.of(
                        "a new storage node is added",
                        ABC,
                        peers(ABC, "", D),
                        List.of(A, B, C, D),
                        Set.of(),
                        ABC.with(D)),
                Arguments.of(
                        "not added while no quorum is synced",
                        ABC,
                        peers(ABC, "b=BEHIND c=BEHIND", D),
                        List.of(A, B, C, D),
                        Set.of(),
                        null),
                Arguments.of(
                        "an unreachable candidate is not added",
                        ABC,
                        peers(ABC, "d=SILENT", D),
                        List.of(D),
                        Set.of(),
                        null),
                Arguments.of(
                        "a candidate that is not synced is not added",
                        ABC,
                        peers(ABC, "d=BEHIND", D),
                        List.of(D),
                        Set.of(),
                        null),
                Arguments.of(
                        "a retiring candidate is not added",
                        ABC,
                        peers(ABC, "", D),
                        List.of(D),
                        Set.of("d"),
                        null),
                Arguments.of(
                        "a retiring member is removed",
                        ABC,
                        peers(ABC, ""),
                        List.of(),
                        Set.of("b"),
                        ABC.without(B)));
    }

    static Stream<Arguments> removals() {
        return Stream.of(
                Arguments.of(
                        "a lost member is removed from a view of even size",
                        ABCD,
                        peers(ABCD, "c=GONE"),
                        List.of(),
                        Set.of(),
                        ABCD.without(C)),
                Arguments.of(
                        "a member without recent responses stays",
                        ABCD,
                        peers(ABCD, "c=SILENT"),
                        List.of(),
                        Set.of(),
                        null),
                Arguments.of(
                        "a lost member is removed from a view of odd size",
                        ABC,
                        peers(ABC, "c=GONE"),
                        List.of(),
                        Set.of(),
                        ABC.without(C)),
                Arguments.of(
                        "a lost member stays if the view would get too small",
                        AB,
                        peers(AB, "b=GONE"),
                        List.of(),
                        Set.of(),
                        null),
                Arguments.of(
                        "the minimum number of storage nodes is kept",
                        AB,
                        peers(AB, ""),
                        List.of(),
                        Set.of("b"),
                        null),
                Arguments.of(
                        "a retiring member stays while the rest has no quorum",
                        ABC,
                        peers(ABC, "c=SILENT"),
                        List.of(),
                        Set.of("b"),
                        null));
    }

    static Stream<Arguments> changesWhileAMemberDoesNotAnswer() {
        return Stream.of(
                Arguments.of(
                        "nothing is added while a member may just have been lost",
                        AB,
                        peers(AB, "b=UNCERTAIN", C),
                        List.of(C),
                        Set.of(),
                        null),
                Arguments.of(
                        "a member is added beside one that does not answer",
                        ABC,
                        peers(ABC, "b=SILENT", D),
                        List.of(D),
                        Set.of(),
                        ABC.with(D)),
                Arguments.of(
                        "no member is retired if the rest could not bear a loss",
                        ABCD,
                        peers(ABCD, "c=SILENT"),
                        List.of(),
                        Set.of("b"),
                        null));
    }

    static Stream<Arguments> changesWithoutAQuorum() {
        return Stream.of(
                Arguments.of(
                        "without a quorum the member that was silent longest is replaced",
                        ABCD,
                        peers(ABCD, "b=WITHOUT_RESPONSE c=GONE", E),
                        List.of(E),
                        Set.of(),
                        ABCD.replacing(C, E)),
                Arguments.of(
                        "without a quorum and a candidate it is left out",
                        ABCD,
                        peers(ABCD, "b=SILENT c=WITHOUT_RESPONSE"),
                        List.of(),
                        Set.of(),
                        ABCD.without(C)),
                Arguments.of(
                        "without a quorum nothing is added to the lost ones",
                        ABCD,
                        peers(ABCD, "b=SILENT c=SILENT", E),
                        List.of(E),
                        Set.of(),
                        null),
                Arguments.of(
                        "one of two is replaced",
                        AB,
                        peers(AB, "b=WITHOUT_RESPONSE", C),
                        List.of(C),
                        Set.of(),
                        AB.replacing(B, C)),
                Arguments.of(
                        "the last of three does not go on without the others",
                        ABC,
                        peers(ABC, "b=GONE c=GONE", D),
                        List.of(D),
                        Set.of(),
                        null),
                Arguments.of(
                        "two of four do not go on before both are synced",
                        ABCD,
                        peers(ABCD, "a=BEHIND b=GONE c=GONE", E),
                        List.of(E),
                        Set.of(),
                        null));
    }

    private static Map<LedgerView.Member, ViewChange.Peer> peers(
            LedgerView view, String others, LedgerView.Member... more) {
        Map<LedgerView.Member, ViewChange.Peer> peers = new HashMap<>();
        List<LedgerView.Member> all = new ArrayList<>(view.members());
        all.addAll(List.of(more));
        for (LedgerView.Member member : all) {
            PeerState state = PeerState.SYNCED;
            for (String other : others.split(" ", -1)) {
                if (other.startsWith(member.node() + "=")) {
                    state = PeerState.valueOf(other.substring(2));
                }
            }
            peers.put(member, peer(view, state));
        }
        return peers;
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource({
        "cases",
        "removals",
        "changesWhileAMemberDoesNotAnswer",
        "changesWithoutAQuorum"
    })
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
