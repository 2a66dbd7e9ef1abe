package org.skylarkmast.relay.ledger;

import java.util.List;
import java.util.concurrent.ExecutorService;

/** Calls several storage nodes in parallel; thread-safe. */
final class QuorumCalls {

    /**
     * A write and its sync take a few milliseconds; the time-out covers connections that never
     * answer.
     */
    static final long CALL_TIMEOUT_MS = 400;

    /**
     * Extra wait for the remaining storage nodes after a quorum has answered: answers from all of
     * them make the second round of a reservation unnecessary.
     */
    private static final long STRAGGLER_WAIT_MS = 12;

    private final StorageNodeClient storageNodes;
    private final StorageNodeReachability reachability;
    private final ExecutorService executor;

    /**
     * @param executor runs the calls in parallel
     */
    QuorumCalls(
            StorageNodeClient storageNodes,
            StorageNodeReachability reachability,
            ExecutorService executor) {
        this.storageNodes = storageNodes;
        this.reachability = reachability;
        this.executor = executor;
    }

    /** Calls all members of {@code view}, and returns the responses once a quorum has answered. */
    <T> List<T> callAll(
            LedgerView view,
            LedgerOperation operation,
            byte[] body,
            LedgerCodec.Reader<T> reader,
            boolean waitForStragglers)
            throws InterruptedException {
        return callMembers(
                view.members(),
                view,
                operation,
                body,
                reader,
                waitForStragglers,
                view.writeQuorum());
    }

    /**
     * Calls {@code members}, and returns the responses once {@code required} have answered.
     *
     * @param waitForStragglers whether to wait a little for the others, except for those that
     *     failed recently
     */
    <T> List<T> callMembers(
            List<LedgerView.Member> members,
            LedgerView view,
            LedgerOperation operation,
            byte[] body,
            LedgerCodec.Reader<T> reader,
            boolean waitForStragglers,
            int required)
            throws InterruptedException {
        ResponseCollector<T> collector = new ResponseCollector<>(members.size());
        for (LedgerView.Member member : members) {
            executor.execute(
                    () -> {
                        T response = null;
                        try {
                            response =
                                    storageNodes.call(
                                            member,
                                            view.version(),
                                            operation,
                                            body,
                                            CALL_TIMEOUT_MS,
                                            reader);
                        } finally {
                            reachability.recordCall(member, response != null);
                            collector.onCompleted(response);
                        }
                    });
        }
        List<T> responses = collector.await(required, CALL_TIMEOUT_MS * 2);
        int memberCount = members.size();
        if (waitForStragglers && responses.size() < memberCount) {
            int expected = 0;
            for (LedgerView.Member member : members) {
                expected += reachability.isSuspected(member) ? 0 : 1;
            }
            if (responses.size() < expected) {
                responses = collector.await(expected, STRAGGLER_WAIT_MS);
            }
        }
        return responses;
    }
}
