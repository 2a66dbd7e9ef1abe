import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of a case: what was sent, answered, run and done, with the time since its start. */
final class Log implements AutoCloseable {
    private final long startedNs = System.nanoTime();
    private final PrintWriter out;

    Log(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    double seconds() {
        return (System.nanoTime() - startedNs) / 1e9;
    }

    synchronized void line(String kind, String text) {
        out.printf("%8.3f s  %-8s %s%n", seconds(), kind, text);
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
