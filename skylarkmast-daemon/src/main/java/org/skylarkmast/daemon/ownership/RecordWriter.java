package org.skylarkmast.daemon.ownership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.skylarkmast.core.json.JsonUtil;
import org.skylarkmast.core.ownership.ClaimRequest;
import org.skylarkmast.core.ownership.OwnerRecord;
import org.skylarkmast.core.ownership.OwnershipAction;
import org.skylarkmast.core.ownership.OwnershipEvent;
import org.skylarkmast.core.store.Condition;
import org.skylarkmast.core.store.KeyValueStore;
import org.skylarkmast.core.store.StoreEntry;
import org.skylarkmast.core.store.StoreKeys;
import org.skylarkmast.core.store.StoreOutcome;
import org.skylarkmast.core.store.Txn;
import org.skylarkmast.core.store.TxnResult;
import org.skylarkmast.core.store.Write;

/**
 * Writes partition records: claims and hand-overs.
 *
 * <p>Its calls block; the result is what the ownership decisions are to be told. Thread-safe.
 */
final class RecordWriter {

    /** Attempts of one write whose answers are lost, before the decisions are asked again. */
    private static final int ATTEMPTS = 3;

    private final KeyValueStore store;

    RecordWriter(KeyValueStore store) {
        this.store = store;
    }

    /** Writes all claims that can take effect, in as few transactions as possible. */
    List<OwnershipEvent> claim(List<ClaimRequest> requests) {
        List<OwnershipEvent> events = new ArrayList<>();
        List<ClaimRequest> group = new ArrayList<>();
        Set<String> formers = new LinkedHashSet<>();
        for (ClaimRequest request : requests) {
            request.formerIncarnation().ifPresent(formers::add);
            if (group.size() + formers.size() + 2 > Txn.MAX_OPERATIONS) {
                claimGroup(group, events);
                group = new ArrayList<>();
                formers.clear();
                request.formerIncarnation().ifPresent(formers::add);
            }
            group.add(request);
        }
        claimGroup(group, events);
        events.add(
                new OwnershipEvent.ClaimAttemptFinished(
                        requests.stream().map(ClaimRequest::partition).toList()));
        return events;
    }

    /** Writes a record to the next owner. */
    List<OwnershipEvent> handOver(OwnershipAction.HandOver handOver) {
        int partition = handOver.partition();
        String key = StoreKeys.partition(partition);
        Txn txn =
                new Txn(
                        List.of(
                                new Condition.ModRevisionIs(key, handOver.claimRevision()),
                                new Condition.KeyPresent(
                                        StoreKeys.session(handOver.record().incarnation()))),
                        List.of(new Write.Put(key, JsonUtil.toBytes(handOver.record()), 0)),
                        List.of(key));
        List<OwnershipEvent> events = new ArrayList<>();
        for (int attempt = 0; attempt < ATTEMPTS; attempt++) {
            StoreOutcome<TxnResult> outcome = store.commit(txn);
            if (outcome instanceof StoreOutcome.Done<TxnResult>(TxnResult result)) {
                events.add(
                        result.succeeded()
                                ? seen(partition, handOver.record(), result.revision())
                                : stored(partition, byKey(result), result.revision()));
                break;
            }
            if (outcome instanceof StoreOutcome.NotApplied<TxnResult>) {
                break;
            }
        }
        events.add(new OwnershipEvent.HandOverAttemptFinished(partition));
        return events;
    }

    private void claimGroup(List<ClaimRequest> group, List<OwnershipEvent> events) {
        List<ClaimRequest> remaining = group;
        int lostAnswers = 0;
        while (!remaining.isEmpty() && lostAnswers < ATTEMPTS) {
            switch (store.commit(claimTxn(remaining))) {
                case StoreOutcome.Done<TxnResult>(TxnResult result) -> {
                    if (result.succeeded()) {
                        for (ClaimRequest claim : remaining) {
                            events.add(seen(claim.partition(), claim.record(), result.revision()));
                        }
                        return;
                    }
                    List<ClaimRequest> possible = stillPossible(remaining, result, events);
                    if (possible.size() == remaining.size()) {
                        return;
                    }
                    remaining = possible;
                }
                case StoreOutcome.NotApplied<TxnResult> notApplied -> {
                    return;
                }
                // The same claims are sent again: if they took effect, the refusal shows our own.
                case StoreOutcome.Unknown<TxnResult> unknown -> lostAnswers++;
            }
        }
    }

    /** Sorts out the claims that kept the others from taking effect. */
    private static List<ClaimRequest> stillPossible(
            List<ClaimRequest> claims, TxnResult result, List<OwnershipEvent> events) {
        Map<String, StoreEntry> entries = byKey(result);
        String ownIncarnation = claims.getFirst().record().incarnation();
        if (!entries.containsKey(StoreKeys.session(ownIncarnation))) {
            events.add(new OwnershipEvent.SessionGone(ownIncarnation));
            return List.of();
        }
        List<ClaimRequest> possible = new ArrayList<>();
        for (ClaimRequest claim : claims) {
            StoreEntry entry = entries.get(StoreKeys.partition(claim.partition()));
            long revision = entry == null ? 0 : entry.modRevision();
            boolean formerAlive =
                    claim.formerIncarnation()
                            .map(StoreKeys::session)
                            .filter(entries::containsKey)
                            .isPresent();
            if (revision != claim.seenRevision()) {
                events.add(stored(claim.partition(), entries, result.revision()));
            } else if (!formerAlive) {
                possible.add(claim);
            }
        }
        return possible;
    }

    private static Txn claimTxn(List<ClaimRequest> claims) {
        Set<String> formers = new LinkedHashSet<>();
        List<Condition> conditions = new ArrayList<>();
        List<Write> writes = new ArrayList<>();
        List<String> read = new ArrayList<>();
        for (ClaimRequest claim : claims) {
            String key = StoreKeys.partition(claim.partition());
            conditions.add(
                    claim.seenRevision() == 0
                            ? new Condition.KeyAbsent(key)
                            : new Condition.ModRevisionIs(key, claim.seenRevision()));
            claim.formerIncarnation().map(StoreKeys::session).ifPresent(formers::add);
            writes.add(new Write.Put(key, JsonUtil.toBytes(claim.record()), 0));
            read.add(key);
        }
        for (String former : formers) {
            conditions.add(new Condition.KeyAbsent(former));
            read.add(former);
        }
        String own = StoreKeys.session(claims.getFirst().record().incarnation());
        conditions.add(new Condition.KeyPresent(own));
        read.add(own);
        return new Txn(conditions, writes, read);
    }

    private static OwnershipEvent stored(
            int partition, Map<String, StoreEntry> entries, long readRevision) {
        StoreEntry entry = entries.get(StoreKeys.partition(partition));
        return entry == null
                ? new OwnershipEvent.RecordSeen(partition, Optional.empty(), readRevision)
                : seen(
                        partition,
                        JsonUtil.fromBytes(entry.value(), OwnerRecord.class),
                        entry.modRevision());
    }

    private static OwnershipEvent seen(int partition, OwnerRecord record, long revision) {
        return new OwnershipEvent.RecordSeen(partition, Optional.of(record), revision);
    }

    private static Map<String, StoreEntry> byKey(TxnResult result) {
        Map<String, StoreEntry> entries = new HashMap<>();
        result.entries().forEach(entry -> entries.put(entry.key(), entry));
        return entries;
    }
}
