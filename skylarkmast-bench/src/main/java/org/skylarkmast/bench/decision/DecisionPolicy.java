package org.skylarkmast.bench.decision;

import java.util.List;
import org.skylarkmast.core.scheduling.CallScheduler;
import org.skylarkmast.core.scheduling.PeerLoad;
import org.skylarkmast.core.scheduling.SchedulingAction;
import org.skylarkmast.core.scheduling.SchedulingEvent;

/** A scheduling policy in a simulated run: the product's scheduler or a baseline. */
interface DecisionPolicy {

    /** Processes one event and returns the resulting actions. */
    List<SchedulingAction> on(SchedulingEvent event, long nowNs);

    /** The load of this owner's calls, reported to the other owners. */
    List<PeerLoad> ownLoad();

    /** Adapts the product's scheduler. */
    static DecisionPolicy of(CallScheduler scheduler) {
        return new DecisionPolicy() {
            @Override
            public List<SchedulingAction> on(SchedulingEvent event, long nowNs) {
                return scheduler.on(event, nowNs);
            }

            @Override
            public List<PeerLoad> ownLoad() {
                return scheduler.ownLoad();
            }
        };
    }
}
