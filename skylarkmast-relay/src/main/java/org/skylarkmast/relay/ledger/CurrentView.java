package org.skylarkmast.relay.ledger;

import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Holds the newest view that this process has received; thread-safe. */
public final class CurrentView {
    private static final Logger LOG = LoggerFactory.getLogger(CurrentView.class);

    private final Consumer<LedgerView> onChange;
    private volatile LedgerView current = LedgerView.NONE;

    /**
     * @param onChange called with each newer view
     */
    public CurrentView(Consumer<LedgerView> onChange) {
        this.onChange = onChange;
    }

    /** The newest view received, {@link LedgerView#NONE} before the first. */
    public LedgerView current() {
        return current;
    }

    /** Replaces the current view if {@code view} has a higher version. */
    public void offer(LedgerView view) {
        synchronized (this) {
            if (view.version() <= current.version()) {
                return;
            }
            current = view;
        }
        LOG.atInfo()
                .addKeyValue("event", "keeper_view")
                .addKeyValue("version", view.version())
                .addKeyValue("members", view.members())
                .log();
        onChange.accept(view);
    }
}
