package org.skylarkmast.bench.load;

import java.util.List;
import org.skylarkmast.bench.caller.CallerRequest;

/** One step of a program. */
public sealed interface Step {

    /** A call to a model or a plain service. */
    record Call(CallerRequest request) implements Step {}

    /** A tool works outside the system. */
    record Pause(long ms) implements Step {}

    /** Sub-agents run beside each other; the step ends with the last of them. */
    record SubAgents(List<ProgramScript> scripts) implements Step {
        public SubAgents {
            scripts = List.copyOf(scripts);
        }
    }
}
