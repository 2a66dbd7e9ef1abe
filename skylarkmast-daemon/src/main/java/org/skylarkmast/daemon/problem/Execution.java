package org.skylarkmast.daemon.problem;

/** Whether the request that an error answers has been carried out. */
public enum Execution {
    /** It provably was not; sending it again does no harm. */
    NOT_RUN("not-run"),
    /** It may have been. */
    UNKNOWN("unknown"),
    /** It was, and failed. */
    RAN("ran");

    private final String word;

    Execution(String word) {
        this.word = word;
    }

    /** How it is written in an answer. */
    public String word() {
        return word;
    }
}
