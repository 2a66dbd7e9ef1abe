package org.skylarkmast.relay.forward;

import java.util.Optional;
import org.skylarkmast.relay.route.Route;
import org.skylarkmast.relay.route.Workspace;

/** On whose behalf a request is served. */
sealed interface CallerIdentity {

    /** The configuration declares no workspaces: callers need no key. */
    record Undeclared() implements CallerIdentity {}

    /** The route is public: the request belongs to no workspace. */
    record Anonymous() implements CallerIdentity {}

    /** The request carries a key of {@code owner}. */
    record Keyed(Workspace owner, String key) implements CallerIdentity {

        /** Leaves out the key, which must not get into a log line. */
        @Override
        public String toString() {
            return "Keyed[workspace=" + owner.name() + "]";
        }
    }

    /** Whether the configuration by which the request was admitted declares workspaces. */
    default boolean isDeclared() {
        return switch (this) {
            case Undeclared undeclared -> false;
            case Anonymous anonymous -> true;
            case Keyed keyed -> true;
        };
    }

    /** Returns the workspace of the request, if it belongs to one. */
    default Optional<Workspace> workspace() {
        return switch (this) {
            case Undeclared undeclared -> Optional.empty();
            case Anonymous anonymous -> Optional.empty();
            case Keyed keyed -> Optional.of(keyed.owner());
        };
    }

    /** Returns the name of the workspace, if the request belongs to one. */
    default Optional<String> workspaceName() {
        return workspace().map(Workspace::name);
    }

    /** Returns the priority of a request on {@code route}, 0 is the highest. */
    default int priority(Route route) {
        return switch (this) {
            case Undeclared undeclared -> route.priority();
            case Anonymous anonymous -> route.priority();
            case Keyed keyed -> keyed.owner().priority().orElse(route.priority());
        };
    }
}
