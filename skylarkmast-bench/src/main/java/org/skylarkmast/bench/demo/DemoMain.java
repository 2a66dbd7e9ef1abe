package org.skylarkmast.bench.demo;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import org.skylarkmast.http.HttpClient;

/** Runs the demonstration against daemons that are up; exits 0 only if all was right. */
public final class DemoMain {
    private DemoMain() {}

    /** Runs the demonstration. */
    public static void main(String[] arguments) {
        DemoOptions options = new DemoOptions();
        JCommander commander = JCommander.newBuilder().addObject(options).build();
        try {
            commander.parse(arguments);
        } catch (ParameterException e) {
            System.err.println("error: " + e.getMessage());
            System.exit(2);
        }
        if (options.help) {
            commander.usage();
            return;
        }
        Map<String, Long> pids = new HashMap<>();
        for (String daemon : options.daemons) {
            int equals = daemon.indexOf('=');
            pids.put(daemon.substring(0, equals), Long.parseLong(daemon.substring(equals + 1)));
        }
        try (HttpClient client = new HttpClient(4, 2_000)) {
            DemoCaller caller = new DemoCaller(client, options.callers, options.key);
            new DemoProgram(
                            caller,
                            owner -> {
                                if (options.kill) {
                                    System.out.println("killing the owner " + owner);
                                    ProcessHandle.of(pids.get(owner))
                                            .orElseThrow()
                                            .destroyForcibly();
                                }
                            },
                            Path.of(options.orderRecord),
                            System.out)
                    .run();
            System.out.println("demo: all was right");
        } catch (DemoFailure e) {
            System.err.println("demo failed: " + e.getMessage());
            System.exit(1);
        }
    }
}
