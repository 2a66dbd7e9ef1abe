import java.util.List;

/**
 * All processes on the storage machines are killed soon after the first start of the whole system,
 * and are back at once.
 */
final class FirstStartCase {
    private static final int KEEPERS = 4;
    private static final int KILL_AFTER_MS = 300;
    private static final int DOWN_MS = 500;

    /** The bound recover_s of the sites, and more. */
    private static final int RECOVER_MS = 12_000;

    private static final int CHECK_MS = 25_000;

    private FirstStartCase() {}

    public static void main(String[] arguments) {
        Cases.run(arguments[0], FirstStartCase::run);
    }

    private static boolean run(Lab lab, boolean trouble) throws Exception {
        for (int i = 0; i < 6; i++) {
            lab.addRunner(new RunnerStandIn(lab.ip(60 + i), "i-" + i, "lm", "v1", 16, 48));
        }
        lab.store.put(
                "op/config",
                Cases.configuration(
                        1,
                        Cases.service("lm", 8),
                        Cases.route(
                                "chat",
                                "/stream/",
                                "streaming",
                                4000,
                                ",\"service\":\"lm\",\"max_attempts\":1,\"retain\":true,"
                                        + "\"retention_s\":60.0,\"resumable\":false,"
                                        + "\"gap_aim_ms\":200")));
        lab.addKeepers(KEEPERS);
        lab.addEntries(2);
        for (Node node : lab.keepers) {
            node.start();
        }
        for (Node node : lab.entries) {
            node.start();
        }
        Thread.sleep(KILL_AFTER_MS);
        if (trouble) {
            for (Node keeper : lab.keepers) {
                keeper.kill();
            }
            lab.log("all storage nodes are killed; view: " + lab.store.get("skylarkmast/view"));
            Thread.sleep(DOWN_MS);
            for (Node keeper : lab.keepers) {
                keeper.start();
            }
            lab.log("all storage nodes are started again, with their disks");
        }
        Thread.sleep(RECOVER_MS);
        int served = 0;
        int sent = 0;
        for (long endNs = System.nanoTime() + CHECK_MS * 1_000_000L; System.nanoTime() - endNs < 0; ) {
            for (Node entry : lab.entries) {
                String id = "q-" + sent++;
                Caller.Result answer =
                        Caller.send(
                                entry,
                                "POST",
                                "/stream/1",
                                Caller.fields("h.example", id, 4000),
                                "my chain is worn".getBytes(),
                                5000);
                served += answer.served() ? 1 : 0;
                lab.log(
                        "%s by %s: %d %s %s"
                                .formatted(
                                        id,
                                        entry.name,
                                        answer.status(),
                                        answer.end(),
                                        answer.served() ? "" : answer.body().strip()));
            }
            Thread.sleep(300);
        }
        List<Node> all = lab.keepers;
        lab.log("storage nodes alive: " + all.stream().filter(Node::isAlive).count());
        lab.log("view in the store: " + lab.store.get("skylarkmast/view"));
        lab.log(served + " of " + sent + " turns are served");
        return served > 0;
    }
}
