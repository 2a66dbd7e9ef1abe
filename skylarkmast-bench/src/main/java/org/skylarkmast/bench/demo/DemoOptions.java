package org.skylarkmast.bench.demo;

import com.beust.jcommander.Parameter;
import java.util.ArrayList;
import java.util.List;

/** The options of the demonstration's caller. */
final class DemoOptions {

    @Parameter(
            names = "--callers",
            required = true,
            description = "Callers' addresses of the daemons, host:port, separated by commas")
    List<String> callers = new ArrayList<>();

    @Parameter(names = "--key", required = true, description = "Bearer key of the workspace")
    String key;

    @Parameter(
            names = "--daemons",
            description = "Daemons as node=pid, separated by commas; used by --kill")
    List<String> daemons = new ArrayList<>();

    @Parameter(names = "--kill", description = "Kill a daemon between two turns")
    boolean kill;

    @Parameter(
            names = "--kill-node",
            description = "The daemon that --kill kills; by default the owner of the program")
    String killNode = "";

    @Parameter(
            names = "--order-record",
            required = true,
            description = "File in which the plain service records the calls it ran")
    String orderRecord;

    @Parameter(names = "--help", help = true, description = "Print this text")
    boolean help;
}
