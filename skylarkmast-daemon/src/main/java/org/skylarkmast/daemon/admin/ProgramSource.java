package org.skylarkmast.daemon.admin;

import java.util.List;

/** Lists the programs whose partitions this node owns. */
@FunctionalInterface
public interface ProgramSource {

    /**
     * Returns the programs of one workspace.
     *
     * @param limit maximum number of rows
     */
    List<ProgramRow> programs(String workspace, int limit);

    /**
     * One program.
     *
     * @param template name of the declared program it was started from
     * @param state state, such as {@code ACTIVE} or {@code ENDED}
     * @param turns calls made, sub-agents included
     * @param tokensSpent tokens of settled calls, charged to the budget
     * @param tokensGranted tokens granted to calls and not settled yet
     * @param idleMs time since the last call
     */
    record ProgramRow(
            String workspace,
            String id,
            String template,
            String state,
            int partition,
            int turns,
            long tokensSpent,
            long tokensGranted,
            int serviceCallsSpent,
            long idleMs) {}
}
