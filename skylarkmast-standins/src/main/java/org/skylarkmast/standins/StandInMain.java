package org.skylarkmast.standins;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Runs one stand-in as a process until the process is terminated. */
public final class StandInMain {
    private static final Logger LOG = LoggerFactory.getLogger(StandInMain.class);
    private static final int USAGE_ERROR = 2;

    private StandInMain() {}

    /** Starts the stand-in named by the first argument; see {@code --help}. */
    public static void main(String[] arguments) throws IOException, InterruptedException {
        Optional<StandInCommand> command;
        try {
            command = parse(arguments);
        } catch (ParameterException e) {
            System.err.println(e.getMessage());
            System.exit(USAGE_ERROR);
            return;
        }
        if (command.isEmpty()) {
            System.err.println("usage: store | engine | service | hosts [options]");
            System.exit(USAGE_ERROR);
            return;
        }
        StandInCommand.RunningStandIn running = command.get().start();
        CountDownLatch terminated = new CountDownLatch(1);
        Runtime.getRuntime()
                .addShutdownHook(Thread.ofPlatform().unstarted(() -> closeStandIn(running)));
        if (command.get().readyFile().isPresent()) {
            writeReadyFile(command.get().readyFile().get(), running.ports());
        }
        LOG.atInfo()
                .addKeyValue("event", "stand_in_ready")
                .addKeyValue("ports", running.ports())
                .log();
        terminated.await();
    }

    /** Returns the command that {@code arguments} select; empty if they contain none. */
    static Optional<StandInCommand> parse(String... arguments) {
        List<StandInCommand> commands =
                List.of(
                        new StandInCommand.Store(),
                        new StandInCommand.Engine(),
                        new StandInCommand.Service(),
                        new StandInCommand.Hosts());
        JCommander parser = new JCommander();
        commands.forEach(parser::addCommand);
        parser.parse(arguments);
        if (parser.getParsedCommand() == null) {
            return Optional.empty();
        }
        JCommander parsed = parser.getCommands().get(parser.getParsedCommand());
        return Optional.of((StandInCommand) parsed.getObjects().getFirst());
    }

    private static void writeReadyFile(Path file, Map<String, Integer> ports) throws IOException {
        Path partialFile = file.resolveSibling(file.getFileName() + ".part");
        Files.writeString(partialFile, StandInJson.write(ports));
        Files.move(partialFile, file, StandardCopyOption.ATOMIC_MOVE);
    }

    private static void closeStandIn(StandInCommand.RunningStandIn running) {
        try {
            running.standIn().close();
        } catch (Exception e) {
            LOG.atWarn().addKeyValue("event", "stand_in_close_failed").setCause(e).log();
        }
    }
}
