package org.skylarkmast.bench.history;

import java.io.BufferedWriter;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.skylarkmast.core.json.JsonUtil;

/** Keeps a run's records in memory and writes them to a JSON lines file. Thread-safe. */
public final class HistoryLog implements Consumer<HistoryRecord>, AutoCloseable {
    private final BufferedWriter writer;
    private final List<HistoryRecord> records = new ArrayList<>();

    /**
     * @param file the JSON lines file; created or overwritten
     * @throws IOException if the file cannot be written
     */
    public HistoryLog(Path file) throws IOException {
        this.writer = Files.newBufferedWriter(file);
    }

    /** Reads the records of a JSON lines file. */
    public static List<HistoryRecord> read(Path file) throws IOException {
        List<HistoryRecord> records = new ArrayList<>();
        for (String line : Files.readAllLines(file)) {
            records.add(JsonUtil.MAPPER.readValue(line, HistoryRecord.class));
        }
        return records;
    }

    @Override
    public synchronized void accept(HistoryRecord record) {
        records.add(record);
        try {
            writer.write(JsonUtil.MAPPER.writerFor(HistoryRecord.class).writeValueAsString(record));
            writer.newLine();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns the records accepted so far. */
    public synchronized List<HistoryRecord> records() {
        return List.copyOf(records);
    }

    @Override
    public synchronized void close() throws IOException {
        writer.close();
    }
}
