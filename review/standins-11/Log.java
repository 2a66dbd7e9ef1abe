import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** The record of a case: what was sent, answered, run and done, with the time since its start. */
final class Log implements AutoCloseable {
    private final long startedNs = System.nanoTime();
    private final PrintWriter out;
    private final Set<String> runs = ConcurrentHashMap.newKeySet();

    Log(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    double seconds() {
        return (System.nanoTime() - startedNs) / 1e9;
    }

    synchronized void line(String kind, String text) {
        out.printf("%8.3f s  %-8s %s%n", seconds(), kind, text);
    }

    /** Records that a runner began to run a request. */
    void run(String id, String runner, int bodyBytes) {
        runs.add(id);
        line("run", id + " at " + runner + ", body of " + bodyBytes + " bytes");
    }

    boolean hasRun(String id) {
        return runs.contains(id);
    }

    synchronized void say(String text) {
        line("note", text);
        out.flush();
        System.out.printf("%8.3f s  %s%n", seconds(), text);
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
