package org.skylarkmast.standins;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.io.Writer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Optional;

/** Appends one JSON line per event to a file and flushes it. Thread-safe. */
public final class RecordFile implements AutoCloseable {
    private final Optional<Writer> writer;

    private boolean closed;

    /**
     * Opens a record file.
     *
     * @param file file to append to; if empty, events are discarded
     * @throws IOException if the file cannot be opened
     */
    public RecordFile(Optional<Path> file) throws IOException {
        this.writer =
                file.isEmpty()
                        ? Optional.empty()
                        : Optional.of(
                                Files.newBufferedWriter(
                                        file.get(),
                                        StandardCharsets.UTF_8,
                                        StandardOpenOption.CREATE,
                                        StandardOpenOption.APPEND));
    }

    /** Appends {@code event} as JSON; has no effect after {@link #close}. */
    public synchronized void append(Object event) {
        if (closed || writer.isEmpty()) {
            return;
        }
        try {
            writer.get().write(StandInJson.write(event) + "\n");
            writer.get().flush();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public synchronized void close() throws IOException {
        closed = true;
        if (writer.isPresent()) {
            writer.get().close();
        }
    }
}
