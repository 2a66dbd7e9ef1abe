package org.skylarkmast.bench.load;

import java.util.List;

/**
 * The steps of one program or sub-agent.
 *
 * @param program id within the workspace
 * @param steps steps in order of execution
 */
public record ProgramScript(String workspace, String program, List<Step> steps) {
    public ProgramScript {
        steps = List.copyOf(steps);
    }
}
