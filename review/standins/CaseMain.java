import java.io.IOException;
import java.nio.file.Path;

/** Runs one case: {@code CaseMain NAME FOLDER}. Exits with 1 if the rule was broken, 0 if not. */
final class CaseMain {
    private static final int BROKEN = 1;
    private static final int NOT_RUN = 2;
    private static final long LONGEST_MS = 115_000;

    private CaseMain() {}

    /** A case; returns whether the rule was broken. */
    interface Case {
        boolean run(Record record, boolean trouble) throws IOException, InterruptedException;
    }

    public static void main(String[] arguments) throws Exception {
        Thread.ofPlatform()
                .daemon()
                .start(
                        () -> {
                            try {
                                Thread.sleep(LONGEST_MS);
                            } catch (InterruptedException e) {
                                return;
                            }
                            System.err.println("the case took too long");
                            System.exit(NOT_RUN);
                        });
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Case played =
                (Case) Class.forName(arguments[0]).getDeclaredConstructor().newInstance();
        int status = NOT_RUN;
        try (Record record = new Record(Path.of(arguments[1]))) {
            record.line("disruption: %s", trouble ? "on" : "off (TROUBLE=0)");
            boolean broken = played.run(record, trouble);
            record.summary("%s", broken ? "the rule was broken" : "the rule held");
            status = broken ? BROKEN : 0;
        } catch (IOException | RuntimeException e) {
            e.printStackTrace();
        }
        System.exit(status);
    }
}
