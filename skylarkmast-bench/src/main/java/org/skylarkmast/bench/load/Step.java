package org.skylarkmast.bench.load;

import java.util.List;
import org.skylarkmast.bench.caller.CallerRequest;

/** One step of a program. */
public sealed interface Step {

    /** A call to a model or a plain service. */
    record Call(CallerRequest request) implements Step {}

    /** A pause in which a tool works outside the system. */
    record Pause(long ms) implements Step {}

    /** Sub-agents that run concurrently; the step ends when the last of them ends. */
    record SubAgents(List<ProgramScript> scripts) implements Step {
        public SubAgents {
            scripts = List.copyOf(scripts);
        }
    }
}
