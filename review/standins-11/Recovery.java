/** A case about service after machines were lost and are back. */
final class Recovery {
    private static final double RECOVER_S = 12;

    /** The time after its return for which a machine counts as lost, and the store's own time. */
    private static final double CATCH_UP_S = 4.5 + 3;

    private Recovery() {}

    /**
     * A storage machine is replaced as planned: the new one comes first, and has had its time when
     * the old one is removed. Shortly after, another storage machine is lost for good.
     */
    static int afterPlannedReplacement(Cluster cluster, Consumers consumers, boolean trouble)
            throws Exception {
        Log log = cluster.log;
        Thread.sleep(5000);
        Node old = cluster.storage.get(2);
        Node lost = cluster.storage.get(0);
        if (trouble) {
            Node successor = cluster.successor(2, 2);
            cluster.storage.add(successor);
            successor.start(false);
            Thread.sleep((long) (CATCH_UP_S * 1000) + 1000);
            log.say("view " + cluster.store.get("skylarkmast/view"));
            old.signal("TERM");
            Thread.sleep(500);
            old.kill();
            log.say(old.name + " is removed");
            Thread.sleep(2000);
            lost.kill();
            log.say(lost.name + " is gone for good");
            Thread.sleep(2000);
            Node second = cluster.successor(0, 2);
            cluster.storage.add(second);
            second.start(false);
        }
        Thread.sleep(5000);
        double faultS = log.seconds();
        if (trouble) {
            // The final fault: all processes on machines that count are killed and come back.
            cluster.storage.remove(old);
            cluster.storage.remove(lost);
            for (Node node : cluster.storage) {
                node.kill();
            }
            Thread.sleep(500);
            for (Node node : cluster.storage) {
                node.start(false);
            }
        }
        return judge(cluster, consumers, faultS);
    }

    /** RECOVER: of the requests sent later than that, a quarter at least is served. */
    private static int judge(Cluster cluster, Consumers consumers, double beforeS)
            throws InterruptedException {
        Log log = cluster.log;
        int[] before = consumers.count(0, beforeS);
        double backS = log.seconds();
        log.say("before the final fault: %d of %d requests served".formatted(before[1], before[0]));
        sleepUntil(log, backS + RECOVER_S + 15);
        int[] after = consumers.count(backS + RECOVER_S, log.seconds() - 4);
        log.say("view " + cluster.store.get("skylarkmast/view"));
        log.say(
                "later than %.0f s after the machines were back: %d of %d requests served"
                        .formatted(RECOVER_S, after[1], after[0]));
        if (after[0] < 20 || before[1] * 4 < before[0]) {
            return 2;
        }
        return after[1] * 4 < after[0] ? 1 : 0;
    }

    private static void sleepUntil(Log log, double atS) throws InterruptedException {
        long ms = (long) ((atS - log.seconds()) * 1000);
        if (ms > 0) {
            Thread.sleep(ms);
        }
    }
}
