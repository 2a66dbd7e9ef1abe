import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run; thread-safe. */
final class Record implements AutoCloseable {
    private final PrintWriter out;
    private final long startedNs = System.nanoTime();

    Record(Path folder) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")));
    }

    /** Writes a line with the time since the start. */
    synchronized void line(String format, Object... arguments) {
        out.printf(Locale.ROOT, "%9.3f  ", (System.nanoTime() - startedNs) / 1e9);
        out.printf(Locale.ROOT, format, arguments);
        out.println();
        out.flush();
    }

    /** Writes a line, and shows it. */
    void summary(String format, Object... arguments) {
        line(format, arguments);
        System.out.printf(Locale.ROOT, format + "%n", arguments);
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
