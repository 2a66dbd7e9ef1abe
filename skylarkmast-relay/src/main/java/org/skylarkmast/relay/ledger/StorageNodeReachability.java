package org.skylarkmast.relay.ledger;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Which storage nodes answer this process, and which one to ask next; thread-safe, no I/O.
 *
 * <p>Answers large fleets: a storage node that answered counts as reachable until a call fails, and
 * only one is probed a second, so the cost of a node does not grow with the number of storage
 * nodes.
 */
final class StorageNodeReachability {
    private static final Logger LOG = LoggerFactory.getLogger(StorageNodeReachability.class);

    /**
     * Time after a storage node's last answer during which a failed call does not make it
     * unreachable.
     */
    private static final long REACHABLE_MS = 1200;

    /**
     * Time for which a quorum is still believed in: a storage node that was just added takes a
     * moment to fetch the last records and answer.
     */
    private static final long VIEW_CHANGE_MS = 700;

    /** Time for which a storage node that failed is not waited for beyond the quorum. */
    private static final long SUSPECT_MS = 2000;

    /**
     * Silence after which a storage node that answered is asked again, one storage node at a time.
     */
    private static final long QUIET_MS = 1000;

    /** Silence after which all are asked once one of them failed: a cut rarely hides just one. */
    private static final long ALARMED_QUIET_MS = 300;

    private static final long NEVER = Long.MIN_VALUE;

    private final LongSupplier clockNs;
    private final Map<String, Contact> contacts = new ConcurrentHashMap<>();
    private volatile long believedUntilNs = NEVER;
    private volatile long roundAskedNs = NEVER;

    /**
     * What is known of one storage node.
     *
     * @param answeredNs last answer, {@link #NEVER} before the first
     * @param failedNs last failed call since then, {@link #NEVER} if none
     */
    private record Contact(long answeredNs, long failedNs) {}

    StorageNodeReachability(LongSupplier clockNs) {
        this.clockNs = clockNs;
    }

    /** Takes the end of a call. */
    void note(LedgerView.Member member, boolean answered) {
        long nowNs = clockNs.getAsLong();
        Contact before =
                contacts.put(
                        member.address(),
                        answered
                                ? new Contact(nowNs, NEVER)
                                : new Contact(contact(member).answeredNs(), nowNs));
        boolean failing = before != null && before.failedNs() != NEVER;
        if (answered && failing) {
            log("keeper_regained", member);
        } else if (!answered && !failing) {
            log("keeper_lost", member);
        }
    }

    /** Whether the last call failed, and so lately that the storage node is not waited for. */
    boolean suspected(LedgerView.Member member) {
        long failedNs = contact(member).failedNs();
        return failedNs != NEVER && sinceMs(failedNs) < SUSPECT_MS;
    }

    /** Whether a quorum of {@code view} is believed to answer. */
    boolean quorum(LedgerView view) {
        long answering = view.members().stream().filter(this::answers).count();
        long nowNs = clockNs.getAsLong();
        if (!view.members().isEmpty() && answering >= view.writeQuorum()) {
            believedUntilNs = nowNs + TimeUnit.MILLISECONDS.toNanos(VIEW_CHANGE_MS);
            return true;
        }
        return believedUntilNs != NEVER && nowNs - believedUntilNs < 0;
    }

    /** Whether a quorum was ever found to answer. */
    boolean everReached() {
        return believedUntilNs != NEVER;
    }

    private boolean answers(LedgerView.Member member) {
        Contact contact = contact(member);
        return contact.answeredNs() != NEVER
                && (contact.failedNs() == NEVER || sinceMs(contact.answeredNs()) < REACHABLE_MS);
    }

    /** The members to ask now; called several times a second. */
    List<LedgerView.Member> due(LedgerView view) {
        contacts.keySet()
                .removeIf(
                        address ->
                                view.members().stream()
                                        .noneMatch(member -> member.address().equals(address)));
        List<LedgerView.Member> due = new ArrayList<>();
        boolean alarmed = false;
        for (LedgerView.Member member : view.members()) {
            Contact contact = contact(member);
            if (contact.answeredNs() == NEVER || contact.failedNs() != NEVER) {
                due.add(member);
                alarmed = true;
            }
        }
        LedgerView.Member quietest = null;
        for (LedgerView.Member member : view.members()) {
            long silentMs = silentMs(member);
            if (alarmed && silentMs >= ALARMED_QUIET_MS && !due.contains(member)) {
                due.add(member);
            }
            if (silentMs >= QUIET_MS && (quietest == null || silentMs > silentMs(quietest))) {
                quietest = member;
            }
        }
        boolean roundDue = roundAskedNs == NEVER || sinceMs(roundAskedNs) >= QUIET_MS;
        if (!alarmed && quietest != null && roundDue) {
            roundAskedNs = clockNs.getAsLong();
            due.add(quietest);
        }
        return due;
    }

    private long silentMs(LedgerView.Member member) {
        long answeredNs = contact(member).answeredNs();
        return answeredNs == NEVER ? Long.MAX_VALUE : sinceMs(answeredNs);
    }

    private Contact contact(LedgerView.Member member) {
        return contacts.getOrDefault(member.address(), new Contact(NEVER, NEVER));
    }

    private long sinceMs(long ns) {
        return TimeUnit.NANOSECONDS.toMillis(clockNs.getAsLong() - ns);
    }

    private static void log(String event, LedgerView.Member member) {
        LOG.atWarn().addKeyValue("event", event).addKeyValue("keeper", member).log();
    }
}
