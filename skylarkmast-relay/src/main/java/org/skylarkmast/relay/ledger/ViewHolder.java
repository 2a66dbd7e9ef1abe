package org.skylarkmast.relay.ledger;

import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The newest view this process knows; thread-safe. */
public final class ViewHolder {
    private static final Logger LOG = LoggerFactory.getLogger(ViewHolder.class);

    private final Consumer<KeeperView> onChange;
    private volatile KeeperView current = KeeperView.NONE;

    /**
     * @param onChange called with each newer view
     */
    public ViewHolder(Consumer<KeeperView> onChange) {
        this.onChange = onChange;
    }

    /** The newest view known. */
    public KeeperView current() {
        return current;
    }

    /** Takes {@code view} if it is newer. */
    public void offer(KeeperView view) {
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
