package org.skylarkmast.relay.forward;

import java.util.concurrent.ExecutorService;
import java.util.function.Function;
import org.skylarkmast.relay.ledger.TurnLedger;
import org.skylarkmast.relay.limit.SendAdmission;
import org.skylarkmast.relay.quarantine.Quarantine;
import org.skylarkmast.relay.runner.Runner;
import org.skylarkmast.relay.runner.RunnerPool;

/**
 * What all requests of a node share.
 *
 * @param reportCrash reports a runner's crash to the other nodes
 * @param sender sends to runners
 * @param executor runs ledger reads concurrently with a reservation
 */
record ForwardingContext(
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

    /** Returns what observes the sends of a request, by runner. */
    Function<Runner, SendObserver> observers(OutboundRequest request) {
        return runner ->
                new RunnerObserver(pool, admission.limits(), contact, dialect, request, runner);
    }
}
