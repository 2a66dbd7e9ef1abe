package org.skylarkmast.bench.cluster;

import java.io.IOException;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.skylarkmast.bench.history.HistoryRecord.Kind;
import org.skylarkmast.bench.history.HistoryRecord.TargetCall;
import org.skylarkmast.core.json.JsonUtil;
import tools.jackson.databind.JsonNode;

/** Reads the files in which target stand-ins record the calls that they ran. */
final class TargetRecords {
    private TargetRecords() {}

    /** Returns the calls that a model engine began, with their end times if recorded. */
    static List<TargetCall> readEngineCalls(Runner runner) throws IOException {
        Map<String, TargetCall> byStream = new LinkedHashMap<>();
        for (JsonNode line : lines(runner)) {
            String stream = line.path("stream").asString();
            boolean ended = line.path("event").asString().equals("ended");
            TargetCall beginning = byStream.get(stream);
            long atMs = line.path("atMs").asLong();
            byStream.put(
                    stream,
                    new TargetCall(
                            beginning == null ? atMs : beginning.atMs(),
                            ended ? atMs : -1,
                            runner.name(),
                            Kind.MODEL,
                            line.path("program").asString(),
                            callerKey(line),
                            line.path("promptTokens").asLong(),
                            line.path("outputTokens").asLong(0)));
        }
        return List.copyOf(byStream.values());
    }

    /** Returns the calls that a plain service ran. */
    static List<TargetCall> readServiceCalls(Runner runner) throws IOException {
        List<TargetCall> runs = new ArrayList<>();
        for (JsonNode line : lines(runner)) {
            long atMs = line.path("atMs").asLong();
            runs.add(
                    new TargetCall(
                            atMs,
                            atMs,
                            runner.name(),
                            Kind.SERVICE,
                            line.path("program").asString(),
                            callerKey(line),
                            0,
                            0));
        }
        return runs;
    }

    /** Returns the caller's key: the last part of the key that the product sends to targets. */
    private static String callerKey(JsonNode line) {
        String key = line.path("key").asString();
        return key.substring(key.lastIndexOf(':') + 1);
    }

    private static List<JsonNode> lines(Runner runner) throws IOException {
        List<JsonNode> lines = new ArrayList<>();
        if (Files.exists(runner.recordFile())) {
            for (String line : Files.readAllLines(runner.recordFile())) {
                lines.add(JsonUtil.MAPPER.readTree(line));
            }
        }
        return lines;
    }
}
