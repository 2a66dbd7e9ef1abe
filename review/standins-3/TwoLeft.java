import java.io.IOException;

/**
 * One of three storage machines is retired; after that has succeeded, one of the two that are left
 * is lost for good and replaced. Then all processes are killed and start again.
 */
final class TwoLeft {
    private TwoLeft() {}

    public static void main(String[] arguments) throws IOException {
        KeptTurns.main(arguments, TwoLeft::play);
    }

    private static boolean play(KeptTurns deployment) throws Exception {
        if (Kit.trouble()) {
            retire(deployment);
        }
        Thread.sleep(6000);
        deployment.keepTurns();
        deployment.replace(deployment.keepers.getLast(), 3);
        Thread.sleep(2 * KeptTurns.CATCH_UP_MS);
        return deployment.recoversFromKill();
    }

    private static void retire(KeptTurns deployment) throws Exception {
        Kit.Node retired = deployment.keepers.removeFirst();
        deployment.store.put("op/retire/" + retired.name, "{\"duration_s\":8}");
        deployment.record.add("the operator asks for " + retired.name + " to be emptied");
        long limitMs = Kit.nowMs() + 15_000;
        String status = "status/retire/" + retired.name;
        while (!String.valueOf(deployment.store.get(status)).contains("succeeded")) {
            if (Kit.nowMs() > limitMs) {
                // The machine stays then: only `succeeded` allows its removal.
                deployment.record.add(status + " does not become succeeded; the machine stays");
                deployment.keepers.addFirst(retired);
                return;
            }
            Thread.sleep(50);
        }
        deployment.record.add(status + ": succeeded; the machine is removed");
        retired.signal("KILL");
    }
}
