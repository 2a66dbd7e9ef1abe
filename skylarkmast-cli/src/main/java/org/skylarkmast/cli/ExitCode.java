package org.skylarkmast.cli;

/** The exit codes of the tool. */
public enum ExitCode {
    /** The command succeeded. */
    OK(0, "done"),
    /** Objects failed validation. */
    INVALID(1, "objects have problems; nothing was changed"),
    /** The command line is invalid, or a file named on it cannot be read. */
    USAGE(2, "the command line is invalid, or a file named on it cannot be read"),
    /** Another change was published concurrently. */
    CONFLICT(3, "another change was published first; nothing was changed"),
    /** No server answered, or the servers cannot reach the key-value service. */
    UNREACHABLE(4, "no server could answer; a change may still take effect"),
    /** The servers refused the request. */
    REFUSED(5, "refused: no operator key, not found or not allowed");

    private final int status;
    private final String meaning;

    ExitCode(int status, String meaning) {
        this.status = status;
        this.meaning = meaning;
    }

    /** Returns the exit status of the process. */
    public int status() {
        return status;
    }

    /** Returns the description printed in the usage text. */
    public String meaning() {
        return meaning;
    }
}
