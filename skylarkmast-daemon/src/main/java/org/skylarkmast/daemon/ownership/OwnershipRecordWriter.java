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
 * Writes ownership records for claims and hand-overs.
 *
 * <p>Calls block and return the resulting events for the ownership state machine. Thread-safe.
 */
final class OwnershipRecordWriter {

    /** Attempts at one write while answers are lost; the state machine then decides anew. */
    private static final int MAX_ATTEMPTS = 3;

    private final KeyValueStore store;

    OwnershipRecordWriter(KeyValueStore store) {
        this.store = store;
    }

    /** Writes all claims whose conditions still hold, in as few transactions as possible. */
    List<OwnershipEvent> claim(List<ClaimRequest> requests) {
        List<OwnershipEvent> events = new ArrayList<>();
        List<ClaimRequest> batch = new ArrayList<>();
        Set<String> formerIncarnations = new LinkedHashSet<>();
        for (ClaimRequest request : requests) {
            request.formerIncarnation().ifPresent(formerIncarnations::add);
            if (batch.size() + formerIncarnations.size() + 2 > Txn.MAX_OPERATIONS) {
                claimBatch(batch, events);
                batch = new ArrayList<>();
                formerIncarnations.clear();
                request.formerIncarnation().ifPresent(formerIncarnations::add);
            }
            batch.add(request);
        }
        claimBatch(batch, events);
        events.add(
                new OwnershipEvent.ClaimAttemptFinished(
                        requests.stream().map(ClaimRequest::partition).toList()));
        return events;
    }

    /** Writes an ownership record that names the next owner. */
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
        for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
            StoreOutcome<TxnResult> outcome = store.commit(txn);
            if (outcome instanceof StoreOutcome.Done<TxnResult>(TxnResult result)) {
                events.add(
                        result.succeeded()
                                ? recordSeen(partition, handOver.record(), result.revision())
                                : storedRecordSeen(
                                        partition, entriesByKey(result), result.revision()));
                break;
            }
            if (outcome instanceof StoreOutcome.NotApplied<TxnResult>) {
                break;
            }
        }
        events.add(new OwnershipEvent.HandOverAttemptFinished(partition));
        return events;
    }

    private void claimBatch(List<ClaimRequest> batch, List<OwnershipEvent> events) {
        List<ClaimRequest> remaining = batch;
        int lostAnswers = 0;
        while (!remaining.isEmpty() && lostAnswers < MAX_ATTEMPTS) {
            switch (store.commit(claimTxn(remaining))) {
                case StoreOutcome.Done<TxnResult>(TxnResult result) -> {
                    if (result.succeeded()) {
                        for (ClaimRequest claim : remaining) {
                            events.add(
                                    recordSeen(
                                            claim.partition(), claim.record(), result.revision()));
                        }
                        return;
                    }
                    List<ClaimRequest> retryable = retryableClaims(remaining, result, events);
                    if (retryable.size() == remaining.size()) {
                        return;
                    }
                    remaining = retryable;
                }
                case StoreOutcome.NotApplied<TxnResult> notApplied -> {
                    return;
                }
                // The same claims are sent again; if the lost attempt took effect, the conditions
                // fail and the records read on failure are those of this node.
                case StoreOutcome.Unknown<TxnResult> unknown -> lostAnswers++;
            }
        }
    }

    /**
     * Returns the claims to send again, without those whose conditions failed, and adds the records
     * read instead to {@code events}.
     */
    private static List<ClaimRequest> retryableClaims(
            List<ClaimRequest> claims, TxnResult result, List<OwnershipEvent> events) {
        Map<String, StoreEntry> entries = entriesByKey(result);
        String ownIncarnation = claims.getFirst().record().incarnation();
        if (!entries.containsKey(StoreKeys.session(ownIncarnation))) {
            events.add(new OwnershipEvent.SessionGone(ownIncarnation));
            return List.of();
        }
        List<ClaimRequest> retryable = new ArrayList<>();
        for (ClaimRequest claim : claims) {
            StoreEntry entry = entries.get(StoreKeys.partition(claim.partition()));
            long revision = entry == null ? 0 : entry.modRevision();
            boolean formerAlive =
                    claim.formerIncarnation()
                            .map(StoreKeys::session)
                            .filter(entries::containsKey)
                            .isPresent();
            if (revision != claim.seenRevision()) {
                events.add(storedRecordSeen(claim.partition(), entries, result.revision()));
            } else if (!formerAlive) {
                retryable.add(claim);
            }
        }
        return retryable;
    }

    private static Txn claimTxn(List<ClaimRequest> claims) {
        Set<String> formerIncarnations = new LinkedHashSet<>();
        List<Condition> conditions = new ArrayList<>();
        List<Write> writes = new ArrayList<>();
        List<String> readOnFailure = new ArrayList<>();
        for (ClaimRequest claim : claims) {
            String key = StoreKeys.partition(claim.partition());
            conditions.add(
                    claim.seenRevision() == 0
                            ? new Condition.KeyAbsent(key)
                            : new Condition.ModRevisionIs(key, claim.seenRevision()));
            claim.formerIncarnation().map(StoreKeys::session).ifPresent(formerIncarnations::add);
            writes.add(new Write.Put(key, JsonUtil.toBytes(claim.record()), 0));
            readOnFailure.add(key);
        }
        for (String former : formerIncarnations) {
            conditions.add(new Condition.KeyAbsent(former));
            readOnFailure.add(former);
        }
        String ownSession = StoreKeys.session(claims.getFirst().record().incarnation());
        conditions.add(new Condition.KeyPresent(ownSession));
        readOnFailure.add(ownSession);
        return new Txn(conditions, writes, readOnFailure);
    }

    private static OwnershipEvent storedRecordSeen(
            int partition, Map<String, StoreEntry> entries, long readRevision) {
        StoreEntry entry = entries.get(StoreKeys.partition(partition));
        return entry == null
                ? new OwnershipEvent.RecordSeen(partition, Optional.empty(), readRevision)
                : recordSeen(
                        partition,
                        JsonUtil.fromBytes(entry.value(), OwnerRecord.class),
                        entry.modRevision());
    }

    private static OwnershipEvent recordSeen(int partition, OwnerRecord record, long revision) {
        return new OwnershipEvent.RecordSeen(partition, Optional.of(record), revision);
    }

    private static Map<String, StoreEntry> entriesByKey(TxnResult result) {
        Map<String, StoreEntry> entries = new HashMap<>();
        result.entries().forEach(entry -> entries.put(entry.key(), entry));
        return entries;
    }
}
