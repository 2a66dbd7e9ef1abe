package org.skylarkmast.bench.load;

import java.util.List;

/**
 * All that one program or sub-agent will do.
 *
 * @param program id within the workspace
 * @param steps run one after the other
 */
public record ProgramScript(String workspace, String program, List<Step> steps) {
    public ProgramScript {
        steps = List.copyOf(steps);
    }
}
