import java.nio.file.Path;

/** Runs a case: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
final class CaseMain {
    private CaseMain() {}

    /** A case. */
    interface Case {
        /** Returns whether the rule held. */
        boolean holds(Site site, boolean trouble) throws Exception;
    }

    private static final int ENTRY_NODES = 2;
    private static final int STORAGE_NODES = 3;

    public static void main(String[] arguments) {
        Path repository = Path.of(arguments[0]);
        Path recordFile = Path.of(arguments[1]);
        String name = arguments[2];
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int exit = 2;
        try (Site site = new Site(repository, ENTRY_NODES, name.equals("retirement") ? STORAGE_NODES + 1 : STORAGE_NODES)) {
            site.log("case " + name + ", TROUBLE=" + (trouble ? 1 : 0));
            try {
                boolean held = named(name).holds(site, trouble);
                exit = held ? 0 : 1;
                site.log(held ? "the rule held" : "the rule was broken");
            } catch (Exception e) {
                site.log("the case could not run: " + e);
            }
            site.logRuns();
            site.save(recordFile);
        } catch (Throwable e) {
            // The JVM's own exit code for an uncaught error would say that the rule was broken.
            exit = 2;
            e.printStackTrace();
        }
        System.exit(exit);
    }

    private static Case named(String name) {
        return switch (name) {
            case "retirement" -> RetirementCase::holds;
            case "long-history" -> LongHistoryCase::holds;
            case "partial-event-budget" -> PartialEventBudgetCase::holds;
            case "leading-slashes" -> LeadingSlashesCase::holds;
            case "prompt-crowd" -> PromptCrowdCase::holds;
            default -> throw new IllegalArgumentException("no such case: " + name);
        };
    }
}
