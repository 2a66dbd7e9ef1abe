package org.skylarkmast.cli;

/** What the tool's exit status means. */
public enum ExitCode {
    /** It did what was asked. */
    OK(0, "done"),
    /** Objects are invalid. */
    INVALID(1, "objects have problems; nothing was changed"),
    /** The command line is wrong. */
    USAGE(2, "the command line or a file named on it cannot be used"),
    /** Another writer was first. */
    CONFLICT(3, "another change was published first; nothing was changed"),
    /** No server answered, or the servers cannot reach the key-value service. */
    UNREACHABLE(4, "no server could answer, or a change may take effect yet"),
    /** The servers refused the request. */
    REFUSED(5, "refused: no operator key, not found or not allowed");

    private final int status;
    private final String meaning;

    ExitCode(int status, String meaning) {
        this.status = status;
        this.meaning = meaning;
    }

    /** The process's exit status. */
    public int status() {
        return status;
    }

    /** The meaning in words, for the usage text. */
    public String meaning() {
        return meaning;
    }
}
