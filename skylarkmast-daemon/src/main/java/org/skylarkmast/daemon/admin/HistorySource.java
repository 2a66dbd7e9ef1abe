package org.skylarkmast.daemon.admin;

import java.util.List;

/** Supplies the histories of programs. */
@FunctionalInterface
public interface HistorySource {

    /** Returns the history of the program {@code id} in {@code workspace}. */
    HistoryOutcome history(String workspace, String id);

    /** Result of a lookup of a program's history. */
    sealed interface HistoryOutcome {

        /** The program's turns in order. */
        record Found(List<HistoryRow> rows) implements HistoryOutcome {

            public Found {
                rows = List.copyOf(rows);
            }
        }

        /** The program does not exist. */
        record Absent() implements HistoryOutcome {}

        /**
         * Another node owns the program.
         *
         * @param node name of the owner, or empty while none is known
         */
        record OwnedElsewhere(String node) implements HistoryOutcome {}
    }

    /**
     * One message of a program.
     *
     * @param turn number of the call, from 1
     * @param agent id of the program or sub-agent that made the call
     * @param role role of the author, such as {@code user}, {@code assistant} or {@code tool}
     * @param content text of the message
     */
    record HistoryRow(int turn, String agent, String role, String content) {}
}
