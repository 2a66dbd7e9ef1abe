package org.skylarkmast.daemon.ownership;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.skylarkmast.core.json.JsonUtil;
import org.skylarkmast.core.ownership.ClaimRequest;
import org.skylarkmast.core.ownership.OwnerRecord;
import org.skylarkmast.core.ownership.OwnershipAction.HandOver;
import org.skylarkmast.core.ownership.OwnershipEvent;
import org.skylarkmast.core.ownership.OwnershipEvent.RecordSeen;
import org.skylarkmast.core.store.StoreEntry;
import org.skylarkmast.core.store.StoreKeys;
import org.skylarkmast.core.store.Txn;
import org.skylarkmast.core.store.Write;
import org.skylarkmast.daemon.sim.FakeStore;
import org.skylarkmast.daemon.sim.Simulation;

class OwnershipRecordWriterTest {
    private static final String FORMER = "former";

    private final FakeStore store = new FakeStore(new Simulation(1));
    private final OwnershipRecordWriter writer = new OwnershipRecordWriter(store);

    @BeforeEach
    void openSessions() {
        put(StoreKeys.session("a"), "{}");
        put(StoreKeys.session("b"), "{}");
    }

    @Test
    void onlyTheFirstOfTwoClaimsTakesEffect() {
        assertThat(owners(writer.claim(claims("a", 0, 3)))).containsExactly("a", "a", "a");
        assertThat(owners(writer.claim(claims("b", 0, 3)))).containsExactly("a", "a", "a");
        assertThat(storedOwner(1)).isEqualTo("a");
    }

    @Test
    void ownedPartitionsDoNotPreventClaimsOfOthersInTheSameBatch() {
        writer.claim(claims("a", 40, 45));
        long calls = store.calls();
        List<OwnershipEvent> events = writer.claim(claims("b", 0, 100));
        assertThat(owners(events).stream().filter("b"::equals).count()).isEqualTo(95);
        assertThat(store.calls() - calls).isEqualTo(2);
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void partitionIsClaimedOnlyAfterTheSessionOfItsOwnerEnded(boolean live) {
        put(StoreKeys.partition(7), json(new OwnerRecord(FORMER, "f", "f:1", 4)));
        long revision = store.revision();
        if (live) {
            put(StoreKeys.session(FORMER), "{}");
        }
        OwnerRecord wanted = new OwnerRecord("a", "a", "a:1", 5);
        writer.claim(List.of(new ClaimRequest(7, revision, Optional.of(FORMER), wanted)));
        assertThat(storedOwner(7)).isEqualTo(live ? FORMER : "a");
    }

    @Test
    void claimWithoutASessionFailsAndReportsTheSessionGone() {
        List<OwnershipEvent> events = writer.claim(claims("expired", 0, 2));
        assertThat(events).contains(new OwnershipEvent.SessionGone("expired"));
        assertThat(store.stored(StoreKeys.PARTITIONS)).isEmpty();
    }

    @ParameterizedTest
    @EnumSource(FakeStore.Fault.class)
    void claimIsReportedWheneverItIsStored(FakeStore.Fault fault) {
        int[] calls = {0};
        store.setFaults((txn, sim) -> calls[0]++ == 0 ? fault : FakeStore.Fault.NONE);
        List<OwnershipEvent> events = writer.claim(claims("a", 0, 1));
        boolean stored = !store.stored(StoreKeys.PARTITIONS).isEmpty();
        assertThat(owners(events)).hasSize(stored ? 1 : 0);
        assertThat(stored).isEqualTo(fault != FakeStore.Fault.REFUSE);
    }

    @ParameterizedTest
    @EnumSource(FakeStore.Fault.class)
    void handOverIsReportedWheneverItIsStored(FakeStore.Fault fault) {
        writer.claim(claims("a", 0, 1));
        int[] calls = {0};
        store.setFaults((txn, sim) -> calls[0]++ == 0 ? fault : FakeStore.Fault.NONE);
        OwnerRecord next = new OwnerRecord("b", "b", "b:1", 2);
        List<OwnershipEvent> events = writer.handOver(new HandOver(0, store.revision(), next));
        assertThat(owners(events).contains("b")).isEqualTo(storedOwner(0).equals("b"));
        assertThat(events).contains(new OwnershipEvent.HandOverAttemptFinished(0));
    }

    @ParameterizedTest
    @ValueSource(strings = {"gone", "b"})
    void handOverRequiresALiveNextOwner(String next) {
        writer.claim(claims("a", 0, 1));
        writer.handOver(new HandOver(0, store.revision(), new OwnerRecord(next, next, "x:1", 2)));
        assertThat(storedOwner(0)).isEqualTo(next.equals("gone") ? "a" : "b");
    }

    @Test
    void handOverOfAPartitionClaimedByAnotherOwnerHasNoEffect() {
        writer.claim(claims("a", 0, 1));
        long revision = store.revision();
        put(StoreKeys.partition(0), json(new OwnerRecord("c", "c", "c:1", 2)));
        OwnerRecord next = new OwnerRecord("b", "b", "b:1", 2);
        assertThat(owners(writer.handOver(new HandOver(0, revision, next)))).containsExactly("c");
        assertThat(storedOwner(0)).isEqualTo("c");
    }

    private static List<ClaimRequest> claims(String incarnation, int from, int to) {
        List<ClaimRequest> claims = new ArrayList<>();
        for (int partition = from; partition < to; partition++) {
            OwnerRecord record = new OwnerRecord(incarnation, incarnation, incarnation + ":1", 1);
            claims.add(new ClaimRequest(partition, 0, Optional.empty(), record));
        }
        return claims;
    }

    private static List<String> owners(List<OwnershipEvent> events) {
        List<String> owners = new ArrayList<>();
        for (OwnershipEvent event : events) {
            if (event instanceof RecordSeen seen) {
                owners.add(seen.record().map(OwnerRecord::incarnation).orElse("none"));
            }
        }
        return owners;
    }

    private String storedOwner(int partition) {
        StoreEntry entry = store.stored(StoreKeys.partition(partition)).getFirst();
        return JsonUtil.fromBytes(entry.value(), OwnerRecord.class).incarnation();
    }

    private static String json(Object value) {
        return JsonUtil.MAPPER.writeValueAsString(value);
    }

    private void put(String key, String value) {
        byte[] bytes = value.getBytes(java.nio.charset.StandardCharsets.UTF_8);
        store.commit(new Txn(List.of(), List.of(new Write.Put(key, bytes, 0))));
    }
}
