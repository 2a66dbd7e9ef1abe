package org.skylarkmast.bench.cluster;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.skylarkmast.core.json.JsonUtil;
import tools.jackson.core.JacksonException;
import tools.jackson.databind.JsonNode;

/** Starts Java programs of this build with small heaps and waits for their ready files. */
final class JavaLauncher {
    private static final List<String> JVM_OPTIONS =
            List.of(
                    "-Xmx192m",
                    "-Xss512k",
                    "-XX:+UseSerialGC",
                    "-XX:TieredStopAtLevel=1",
                    "--enable-native-access=ALL-UNNAMED",
                    "--sun-misc-unsafe-memory-access=allow");
    private static final long READY_TIMEOUT_MS = 60_000;
    private static final long READY_POLL_MS = 20;

    private final Path folder;
    private final String classPath;

    /**
     * @param folder folder for ready files and logs
     */
    JavaLauncher(Path folder, String classPath) {
        this.folder = folder;
        this.classPath = classPath;
    }

    /** A started process and the ready file that it writes once it serves requests. */
    record StartedProcess(ChildProcess process, Path readyFile) {}

    /** Starts {@code mainClass} with {@code arguments} and {@code --ready-file}. */
    StartedProcess start(String name, String mainClass, List<String> arguments) throws IOException {
        Path readyFile = folder.resolve(name + ".ready");
        Files.deleteIfExists(readyFile);
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(JVM_OPTIONS);
        command.addAll(List.of("-cp", classPath, mainClass));
        command.addAll(arguments);
        command.addAll(List.of("--ready-file", readyFile.toString()));
        ChildProcess process = ChildProcess.start(name, command, folder.resolve(name + ".log"));
        return new StartedProcess(process, readyFile);
    }

    /**
     * Waits for the ready file of a process.
     *
     * @return the content of the ready file
     * @throws IOException if the process ends first or does not become ready in time
     */
    JsonNode awaitReady(StartedProcess started) throws IOException {
        long deadlineNs = System.nanoTime() + READY_TIMEOUT_MS * 1_000_000;
        while (System.nanoTime() < deadlineNs) {
            Optional<JsonNode> ready = readReadyFile(started.readyFile());
            if (ready.isPresent()) {
                return ready.get();
            }
            if (started.process().awaitEnd(READY_POLL_MS)) {
                throw new IOException(
                        started.process().name()
                                + " ended before it was ready; end of its log: "
                                + logTail(started.process().name()));
            }
        }
        throw new IOException(started.process().name() + " did not write its ready file in time");
    }

    private static Optional<JsonNode> readReadyFile(Path readyFile) throws IOException {
        if (!Files.exists(readyFile)) {
            return Optional.empty();
        }
        try {
            JsonNode node = JsonUtil.MAPPER.readTree(Files.readAllBytes(readyFile));
            return node.isMissingNode() ? Optional.empty() : Optional.of(node);
        } catch (JacksonException e) {
            return Optional.empty();
        }
    }

    private String logTail(String name) throws IOException {
        List<String> lines = Files.readAllLines(folder.resolve(name + ".log"));
        return String.join("\n", lines.subList(Math.max(0, lines.size() - 20), lines.size()));
    }
}
