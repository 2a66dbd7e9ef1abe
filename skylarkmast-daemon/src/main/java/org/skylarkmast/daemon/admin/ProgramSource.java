package org.skylarkmast.daemon.admin;

import java.util.List;

/** Lists the programs whose partitions this node owns. */
@FunctionalInterface
public interface ProgramSource {

    /**
     * Programs of one workspace.
     *
     * @param limit most rows to return
     */
    List<ProgramRow> programs(String workspace, int limit);

    /**
     * A program.
     *
     * @param template name of the declared program it was started from
     * @param state such as {@code ACTIVE} or {@code ENDED}
     * @param turns calls made, sub-agents included
     * @param tokensSpent tokens settled against the budget
     * @param tokensGranted tokens committed to be spent and not settled yet
     * @param idleMs time since its last call
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
