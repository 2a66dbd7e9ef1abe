package org.skylarkmast.relay.ledger;

import java.io.IOException;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Holds the newest view that this process has received; thread-safe. */
public final class CurrentView {
    private static final Logger LOG = LoggerFactory.getLogger(CurrentView.class);

    private final ViewStorage storage;
    private final Consumer<LedgerView> onChange;
    private volatile LedgerView current = LedgerView.NONE;

    /** Stores a view before it comes into force in this process. */
    @FunctionalInterface
    public interface ViewStorage {

        /**
         * Stores {@code view}.
         *
         * @throws IOException if it could not be stored
         */
        void store(LedgerView view) throws IOException;
    }

    /**
     * @param onChange called with each newer view
     */
    public CurrentView(Consumer<LedgerView> onChange) {
        this(_ -> {}, onChange);
    }

    /**
     * @param storage stores each newer view; one that it cannot store does not come into force
     * @param onChange called with each newer view
     */
    public CurrentView(ViewStorage storage, Consumer<LedgerView> onChange) {
        this.storage = storage;
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
            try {
                storage.store(view);
            } catch (IOException e) {
                LOG.atWarn()
                        .addKeyValue("event", "keeper_view_not_stored")
                        .addKeyValue("version", view.version())
                        .setCause(e)
                        .log();
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
