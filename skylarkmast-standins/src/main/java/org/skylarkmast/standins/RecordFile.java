package org.skylarkmast.standins;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.io.Writer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Optional;

/** Appends one JSON line per event to a file, flushed before it returns; thread-safe. */
public final class RecordFile implements AutoCloseable {
    private final Optional<Writer> out;

    private boolean closed;

    /**
     * Opens a record.
     *
     * @param file appended to; without one nothing is kept
     * @throws IOException if the file cannot be opened
     */
    public RecordFile(Optional<Path> file) throws IOException {
        this.out =
                file.isEmpty()
                        ? Optional.empty()
                        : Optional.of(
                                Files.newBufferedWriter(
                                        file.get(),
                                        StandardCharsets.UTF_8,
                                        StandardOpenOption.CREATE,
                                        StandardOpenOption.APPEND));
    }

    /** Appends {@code line} as JSON; nothing once it is closed. */
    public synchronized void append(Object line) {
        if (closed || out.isEmpty()) {
            return;
        }
        try {
            out.get().write(StandInJson.write(line) + "\n");
            out.get().flush();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public synchronized void close() throws IOException {
        closed = true;
        if (out.isPresent()) {
            out.get().close();
        }
    }
}
