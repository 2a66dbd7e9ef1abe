package org.skylarkmast.bench.decision;

import java.util.List;
import org.skylarkmast.core.scheduling.CallScheduler;
import org.skylarkmast.core.scheduling.PeerLoad;
import org.skylarkmast.core.scheduling.SchedulingAction;
import org.skylarkmast.core.scheduling.SchedulingEvent;

/** What decides on calls in a run: the product's scheduler or a baseline. */
interface DecisionPolicy {

    /** Takes one event and tells what has to be done. */
    List<SchedulingAction> on(SchedulingEvent event, long nowNs);

    /** What it has under way, for the other owners. */
    List<PeerLoad> ownLoad();

    /** The product's scheduler. */
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
