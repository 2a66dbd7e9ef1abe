package org.skylarkmast.daemon.admin;

import java.util.List;

/** Reads the history of a program. */
@FunctionalInterface
public interface HistorySource {

    /** The history of the program {@code id} in {@code workspace}. */
    HistoryOutcome history(String workspace, String id);

    /** What was found of a program. */
    sealed interface HistoryOutcome {

        /** The program's turns in order. */
        record Found(List<HistoryRow> rows) implements HistoryOutcome {

            public Found {
                rows = List.copyOf(rows);
            }
        }

        /** There is no such program. */
        record Absent() implements HistoryOutcome {}

        /**
         * Another node owns it.
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
     * @param role who said it, such as {@code user}, {@code assistant} or {@code tool}
     * @param content what was said
     */
    record HistoryRow(int turn, String agent, String role, String content) {}
}
