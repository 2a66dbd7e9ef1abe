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
    private static final long LOST_MS = ViewChange.LOST_AFTER_MS + 1;

    /**
     * The state of a storage node: reachable and synced, reachable but not synced, without a
     * response for a short time, or for long enough to be removed.
     */
    private enum PeerState {
        SYNCED,
        BEHIND,
        SILENT,
        GONE
    }

    private static ViewChange.Peer peer(LedgerView view, PeerState state) {
        StorageNodeStatus synced = new StorageNodeStatus(view, true, view.version());
        return switch (state) {
            case SYNCED -> new ViewChange.Peer(synced, 0);
            case BEHIND -> new ViewChange.Peer(new StorageNodeStatus(view, true, 1), 0);
            case SILENT -> new ViewChange.Peer(synced, 3000);
            case GONE -> new ViewChange.Peer(synced, LOST_MS);
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
                        "a lost member stays if the quorum would not shrink",
                        ABC,
                        peers(ABC, "c=GONE"),
                        List.of(),
                        Set.of(),
                        null),
                Arguments.of(
                        "the minimum number of storage nodes is kept",
                        new LedgerView(5, List.of(A, B)),
                        peers(new LedgerView(5, List.of(A, B)), ""),
                        List.of(),
                        Set.of("b"),
                        null),
                Arguments.of(
                        "a retiring member stays while the rest has no quorum",
                        ABC,
                        peers(ABC, "c=GONE"),
                        List.of(),
                        Set.of("b"),
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
    @MethodSource({"cases", "removals"})
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
