package org.skylarkmast.relay.forward;

import java.util.concurrent.ExecutorService;
import java.util.function.Function;
import org.skylarkmast.relay.ledger.TurnLedger;
import org.skylarkmast.relay.ledger.WorkspaceLedger;
import org.skylarkmast.relay.limit.SendAdmission;
import org.skylarkmast.relay.quarantine.Quarantine;
import org.skylarkmast.relay.runner.Runner;
import org.skylarkmast.relay.runner.RunnerPool;

/**
 * What all requests of a node share.
 *
 * @param reportCrash reports a runner's crash to the other nodes
 * @param keys decides on the keys of callers
 * @param sender sends to runners
 * @param executor runs ledger reads concurrently with a reservation
 */
record ForwardingContext(
        KeyAdmission keys,
        RunnerPool pool,
        SendAdmission admission,
        RunnerContact contact,
        Quarantine quarantine,
        RunnerCrashDetector crashDetector,
        Runnable reportCrash,
        RequestSender sender,
        PeerRelay peerRelay,
        WireDialect dialect,
        TurnLedger ledger,
        RequestLog requestLog,
        RefusalWriter refusals,
        ExecutorService executor) {

    /** Returns the part of the ledger that a request of {@code identity} may read and write. */
    TurnLedger ledgerOf(CallerIdentity identity) {
        return identity.workspaceName()
                .<TurnLedger>map(name -> new WorkspaceLedger(ledger, name))
                .orElse(ledger);
    }

    /** Returns what observes the sends of a request, by runner. */
    Function<Runner, SendObserver> observers(OutboundRequest request) {
        return runner ->
                new RunnerObserver(pool, admission.limits(), contact, dialect, request, runner);
    }
}
