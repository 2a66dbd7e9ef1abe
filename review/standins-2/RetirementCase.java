import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One storage machine is lost for good and replaced at another address while another is to be
 * emptied. Later, when the replacement has had its time, a third one loses its disk and comes back.
 * Turns have to be served again.
 */
final class RetirementCase {
    private static final int CALLERS = 4;

    /** replace_core: "an empty one comes x s later"; the site has x = 2.0. */
    private static final int REPLACED_AFTER_MS = 2000;

    private static final int CATCH_UP_MS = 4300;
    private static final int DOWN_MS = 1000;
    private static final int RECOVER_MS = 12_000;
    private static final int JUDGED_MS = 8000;

    private final Site site;
    private final AtomicInteger asked = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();

    private RetirementCase(Site site) {
        this.site = site;
    }

    static boolean holds(Site site, boolean trouble) throws Exception {
        return new RetirementCase(site).run(trouble);
    }

    private boolean run(boolean trouble) throws Exception {
        AtomicBoolean ended = new AtomicBoolean();
        List<Thread> callers = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            Node entry = site.entries.get(i % site.entries.size());
            String program = "p-" + i + "-";
            callers.add(Thread.ofVirtual().start(() -> {
                for (int n = 0; !ended.get(); n++) {
                    Caller.Answer answer = Caller.send(site, entry, "POST", "/turn/x", 4000,
                            Turns.fields(program + n, "s", 1000, 80, ""), "hello".getBytes(StandardCharsets.US_ASCII));
                    asked.incrementAndGet();
                    served.addAndGet(answer.status() == 200 ? 1 : 0);
                    pause(100);
                }
            }));
        }
        pause(4000);
        double before = share("before");
        Node lost = site.keepers.get(1);
        Node retired = site.keepers.get(3);
        Node wiped = site.keepers.get(2);
        lost.kill();
        site.log(lost.name() + " is gone for good");
        if (trouble) {
            site.store.put("op/retire/" + retired.name(), "{\"duration_s\":8}");
            site.log(retired.name() + " is to be emptied");
        }
        pause(REPLACED_AFTER_MS);
        Node replacement = site.addKeeper("storage-b-2", "zone-b");
        site.log(replacement.name() + " comes at another address");
        pause(2 * CATCH_UP_MS + 4000);
        logState(retired);
        share("until the final fault");
        wiped.kill();
        wiped.wipe();
        pause(DOWN_MS);
        wiped.start();
        site.log("final fault: " + wiped.name() + " was killed, lost its disk and is back");
        pause(RECOVER_MS);
        share("in the time to recover");
        pause(JUDGED_MS);
        double after = share("later than recover_s");
        logState(retired);
        ended.set(true);
        for (Thread caller : callers) {
            caller.join();
        }
        if (before < 0.25) {
            throw new IllegalStateException("too few turns were served before to judge");
        }
        return after >= 0.25;
    }

    private void logState(Node retired) {
        site.log("view " + site.store.get("skylarkmast/view") + ", retirement " + site.store.get("status/retire/" + retired.name()));
    }

    /** Returns the share of turns that were served since the last call. */
    private double share(String when) {
        int served = this.served.getAndSet(0);
        int asked = this.asked.getAndSet(0);
        site.log("turns served " + when + ": " + served + " of " + asked);
        return asked == 0 ? 0 : (double) served / asked;
    }

    private static void pause(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
