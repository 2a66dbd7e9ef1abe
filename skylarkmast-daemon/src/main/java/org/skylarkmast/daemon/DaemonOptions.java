package org.skylarkmast.daemon;

import com.beust.jcommander.Parameter;

/** The daemon's command line. */
final class DaemonOptions {

    @Parameter(
            names = "--settings",
            required = true,
            description = "Settings file, JSON with comments")
    String settings;

    @Parameter(names = "--check", description = "Check the settings and exit")
    boolean check;

    @Parameter(
            names = "--ready-file",
            description = "File to write the ports to, as JSON, once the daemon serves")
    String readyFile;

    @Parameter(names = "--help", help = true, description = "Print this text")
    boolean help;
}
