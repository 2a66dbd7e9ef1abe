package org.skylarkmast.daemon;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import org.skylarkmast.core.json.JsonUtil;
import org.skylarkmast.daemon.node.Daemon;
import org.skylarkmast.daemon.settings.Settings;
import org.skylarkmast.daemon.settings.SettingsOutcome;
import org.skylarkmast.daemon.settings.SettingsProblem;
import org.skylarkmast.daemon.settings.SettingsReader;
import org.skylarkmast.daemon.store.EtcdStore;
import org.skylarkmast.daemon.telemetry.LogLevels;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Entry point of the daemon. */
public final class Main {
    private static final Logger LOG = LoggerFactory.getLogger(Main.class);

    /** Exit status when the settings are invalid. */
    private static final int EXIT_INVALID_SETTINGS = 1;

    /** Exit status when the command line is invalid. */
    private static final int EXIT_USAGE = 2;

    /** Exit status when an address cannot be bound or the ready file cannot be written. */
    private static final int EXIT_START_FAILED = 3;

    private Main() {}

    /** Runs the daemon until the process is terminated. */
    public static void main(String[] arguments) throws InterruptedException {
        DaemonOptions options = new DaemonOptions();
        JCommander commander =
                JCommander.newBuilder().programName("skylarkmastd").addObject(options).build();
        try {
            commander.parse(arguments);
        } catch (ParameterException e) {
            System.err.println("error: " + e.getMessage());
            System.exit(EXIT_USAGE);
        }
        if (options.help) {
            commander.usage();
            return;
        }
        switch (SettingsReader.read(Path.of(options.settings))) {
            case SettingsOutcome.Valid valid -> run(valid.settings(), options);
            case SettingsOutcome.Invalid invalid -> {
                for (SettingsProblem problem : invalid.problems()) {
                    System.err.println("error: " + problem);
                }
                System.exit(EXIT_INVALID_SETTINGS);
            }
        }
    }

    private static void run(Settings settings, DaemonOptions options) throws InterruptedException {
        if (options.check) {
            System.out.println("settings are usable");
            return;
        }
        LogLevels.set(settings.telemetry().logLevel());
        Settings.Store store = settings.store();
        Daemon daemon = start(settings, new EtcdStore(store.endpoints(), store.callTimeoutMs()));
        Runtime.getRuntime().addShutdownHook(new Thread(daemon::drain, "drain"));
        LOG.atInfo()
                .addKeyValue("event", "daemon_started")
                .addKeyValue("node", settings.node().name())
                .addKeyValue("callersPort", daemon.callersPort())
                .addKeyValue("peersPort", daemon.peersPort())
                .addKeyValue("administrationPort", daemon.administrationPort())
                .log();
        if (options.readyFile != null) {
            writeReadyFile(Path.of(options.readyFile), daemon);
        }
        new CountDownLatch(1).await();
    }

    private static Daemon start(Settings settings, EtcdStore store) {
        try {
            return new Daemon(settings, store);
        } catch (IOException e) {
            System.err.println("error: cannot listen: " + e.getMessage());
            System.exit(EXIT_START_FAILED);
            throw new IllegalStateException("exited", e);
        }
    }

    /** Writes the file atomically, so that a script that waits for it never reads part of it. */
    private static void writeReadyFile(Path file, Daemon daemon) {
        Map<String, Integer> ports =
                Map.of(
                        "callers", daemon.callersPort(),
                        "peers", daemon.peersPort(),
                        "administration", daemon.administrationPort());
        try {
            Path temporaryFile = file.resolveSibling(file.getFileName() + ".draft");
            Files.write(temporaryFile, JsonUtil.MAPPER.writeValueAsBytes(ports));
            Files.move(temporaryFile, file, StandardCopyOption.ATOMIC_MOVE);
        } catch (IOException e) {
            System.err.println("error: cannot write " + file + ": " + e.getMessage());
            System.exit(EXIT_START_FAILED);
        }
    }
}
