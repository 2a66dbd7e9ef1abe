package org.skylarkmast.standins;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.skylarkmast.standins.engine.EngineOptions;
import org.skylarkmast.standins.engine.EngineStandIn;
import org.skylarkmast.standins.hosts.HostListStandIn;
import org.skylarkmast.standins.service.ServiceOptions;
import org.skylarkmast.standins.service.ServiceStandIn;
import org.skylarkmast.standins.store.EtcdStandIn;

/** A subcommand that starts one stand-in with its options. */
abstract class StandInCommand {

    @Parameter(names = "--port", description = "port to listen on, 0 for a free one")
    int port;

    @Parameter(names = "--ready-file", description = "file written with the ports when ready")
    Path readyFile;

    /** A running stand-in and its ports by name. */
    record RunningStandIn(AutoCloseable standIn, Map<String, Integer> ports) {}

    /** Starts the stand-in. */
    abstract RunningStandIn start() throws IOException;

    /** Returns the file to write once the stand-in is ready. */
    Optional<Path> readyFile() {
        return Optional.ofNullable(readyFile);
    }

    @Parameters(commandNames = "store", commandDescription = "the key-value service")
    static final class Store extends StandInCommand {

        @Parameter(
                names = "--control-port",
                description = "port of the fault injection and call count API")
        int controlPort;

        @Override
        RunningStandIn start() throws IOException {
            EtcdStandIn store = EtcdStandIn.start(port, controlPort);
            Map<String, Integer> ports = new LinkedHashMap<>();
            ports.put("port", store.port());
            ports.put("controlPort", store.controlPort());
            return new RunningStandIn(store, ports);
        }
    }

    @Parameters(commandNames = "engine", commandDescription = "a model engine")
    static final class Engine extends StandInCommand {

        @Parameter(names = "--name")
        String name = "engine";

        @Parameter(names = "--model")
        String model = "model";

        @Parameter(names = "--version")
        String version = "v1";

        @Parameter(names = "--prefill-tokens-per-second")
        double prefillTokensPerSecond = 5_000;

        @Parameter(names = "--decode-tokens-per-second")
        double decodeTokensPerSecond = 100;

        @Parameter(names = "--cache-tokens")
        long cacheTokens = 100_000;

        @Parameter(names = "--max-concurrent")
        int maxConcurrent = 16;

        @Parameter(names = "--report-interval-ms")
        long reportIntervalMs = 500;

        @Parameter(names = "--checks-epoch")
        boolean checksEpoch;

        @Parameter(names = "--record")
        Path record;

        @Override
        RunningStandIn start() throws IOException {
            EngineStandIn engine =
                    EngineStandIn.start(
                            port,
                            new EngineOptions(
                                    name,
                                    model,
                                    version,
                                    prefillTokensPerSecond,
                                    decodeTokensPerSecond,
                                    cacheTokens,
                                    maxConcurrent,
                                    reportIntervalMs,
                                    checksEpoch,
                                    Optional.ofNullable(record)));
            return new RunningStandIn(engine, Map.of("port", engine.port()));
        }
    }

    @Parameters(commandNames = "service", commandDescription = "a plain service")
    static final class Service extends StandInCommand {

        @Parameter(names = "--name")
        String name = "service";

        @Parameter(names = "--latency-ms")
        long latencyMs;

        @Parameter(names = "--max-concurrent")
        int maxConcurrent = 16;

        @Parameter(names = "--checks-epoch")
        boolean checksEpoch;

        @Parameter(names = "--lookup")
        boolean lookup;

        @Parameter(names = "--record")
        Path record;

        @Override
        RunningStandIn start() throws IOException {
            ServiceStandIn service =
                    ServiceStandIn.start(
                            port,
                            new ServiceOptions(
                                    name,
                                    latencyMs,
                                    maxConcurrent,
                                    checksEpoch,
                                    lookup,
                                    Optional.ofNullable(record)));
            return new RunningStandIn(service, Map.of("port", service.port()));
        }
    }

    @Parameters(commandNames = "hosts", commandDescription = "the host list")
    static final class Hosts extends StandInCommand {

        @Override
        RunningStandIn start() throws IOException {
            HostListStandIn hosts = HostListStandIn.start(port);
            return new RunningStandIn(hosts, Map.of("port", hosts.port()));
        }
    }
}
