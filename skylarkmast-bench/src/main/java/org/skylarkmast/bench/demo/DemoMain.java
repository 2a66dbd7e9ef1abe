package org.skylarkmast.bench.demo;

import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import org.skylarkmast.bench.CommandLineUtil;
import org.skylarkmast.http.HttpClient;

/** Runs the demonstration against running daemons; exits with 0 only if all checks passed. */
public final class DemoMain {
    private DemoMain() {}

    /** Runs the demonstration. */
    public static void main(String[] arguments) {
        DemoOptions options = new DemoOptions();
        if (!CommandLineUtil.parse("demo", options, () -> options.help, arguments)) {
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
                                    kill(
                                            options.killNode.isEmpty() ? owner : options.killNode,
                                            pids);
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

    private static void kill(String node, Map<String, Long> pids) {
        if (!pids.containsKey(node)) {
            throw new DemoFailure("unknown daemon " + node + ", expected one of " + pids.keySet());
        }
        System.out.println("killing " + node);
        ProcessHandle.of(pids.get(node)).orElseThrow().destroyForcibly();
    }
}
