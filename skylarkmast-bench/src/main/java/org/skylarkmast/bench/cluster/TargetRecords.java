package org.skylarkmast.bench.cluster;

import java.io.IOException;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.skylarkmast.bench.history.HistoryRecord.Kind;
import org.skylarkmast.bench.history.HistoryRecord.TargetSaw;
import org.skylarkmast.core.json.JsonUtil;
import tools.jackson.databind.JsonNode;

/** Reads the files in which stand-ins record the calls that they ran. */
final class TargetRecords {
    private TargetRecords() {}

    /** The calls that a model engine began, joined with their ends. */
    static List<TargetSaw> engine(Runner runner) throws IOException {
        Map<String, TargetSaw> byStream = new LinkedHashMap<>();
        for (JsonNode line : lines(runner)) {
            String stream = line.path("stream").asString();
            boolean ended = line.path("event").asString().equals("ended");
            TargetSaw begun = byStream.get(stream);
            long atMs = line.path("atMs").asLong();
            byStream.put(
                    stream,
                    new TargetSaw(
                            begun == null ? atMs : begun.atMs(),
                            ended ? atMs : -1,
                            runner.name(),
                            Kind.MODEL,
                            line.path("program").asString(),
                            callersKey(line),
                            line.path("promptTokens").asLong(),
                            line.path("outputTokens").asLong(0)));
        }
        return List.copyOf(byStream.values());
    }

    /** The calls that a plain service ran. */
    static List<TargetSaw> service(Runner runner) throws IOException {
        List<TargetSaw> runs = new ArrayList<>();
        for (JsonNode line : lines(runner)) {
            long atMs = line.path("atMs").asLong();
            runs.add(
                    new TargetSaw(
                            atMs,
                            atMs,
                            runner.name(),
                            Kind.SERVICE,
                            line.path("program").asString(),
                            callersKey(line),
                            0,
                            0));
        }
        return runs;
    }

    /** The caller's key is the last part of the key that the product sends to targets. */
    private static String callersKey(JsonNode line) {
        String key = line.path("key").asString();
        return key.substring(key.lastIndexOf(':') + 1);
    }

    private static List<JsonNode> lines(Runner runner) throws IOException {
        List<JsonNode> lines = new ArrayList<>();
        if (Files.exists(runner.record())) {
            for (String line : Files.readAllLines(runner.record())) {
                lines.add(JsonUtil.MAPPER.readTree(line));
            }
        }
        return lines;
    }
}
