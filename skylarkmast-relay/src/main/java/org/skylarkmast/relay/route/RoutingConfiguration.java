package org.skylarkmast.relay.route;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/** One version of the routes and services; immutable. */
public final class RoutingConfiguration {
    private final long version;
    private final Map<String, List<Route>> routesByHost = new HashMap<>();
    private final Map<String, TargetService> services;
    private final CallerLimits limits;
    private final Optional<Map<String, Workspace>> workspacesByKey;

    /**
     * Creates a configuration without workspaces: requests need no key.
     *
     * @param version increases with each change
     * @param services services by name
     */
    public RoutingConfiguration(
            long version,
            List<Route> routes,
            Map<String, TargetService> services,
            CallerLimits limits) {
        this(version, routes, services, limits, Optional.empty());
    }

    /**
     * @param version increases with each change
     * @param services services by name
     * @param workspacesByKey the owners of callers' keys; empty if the configuration declares no
     *     workspaces, so that requests need no key
     */
    public RoutingConfiguration(
            long version,
            List<Route> routes,
            Map<String, TargetService> services,
            CallerLimits limits,
            Optional<Map<String, Workspace>> workspacesByKey) {
        this.version = version;
        this.services = Map.copyOf(services);
        this.limits = limits;
        this.workspacesByKey = workspacesByKey.map(Map::copyOf);
        for (Route route : routes) {
            routesByHost
                    .computeIfAbsent(route.host().toLowerCase(Locale.ROOT), h -> new ArrayList<>())
                    .add(route);
        }
        // Longest prefix first, so that the first match is the most specific one; of equal ones
        // those that a service serves.
        routesByHost
                .values()
                .forEach(
                        list ->
                                list.sort(
                                        Comparator.<Route>comparingInt(
                                                        route -> -route.pathPrefix().length())
                                                .thenComparing(Route::isUnserved)));
    }

    /**
     * Returns the tokens for which a runner of {@code service} has memory; 0 if that is not
     * declared, or no workspaces are: without them requests are placed as before.
     */
    public long capacityTokens(String service) {
        TargetService target = services.get(service);
        return target == null || !hasWorkspaces() ? 0 : target.capacityTokens();
    }

    public long version() {
        return version;
    }

    public CallerLimits limits() {
        return limits;
    }

    /**
     * Whether workspaces are declared, so that requests on routes that are not public need a key.
     */
    public boolean hasWorkspaces() {
        return workspacesByKey.isPresent();
    }

    /** Returns the workspace that holds {@code key}, or null if none does. */
    public Workspace workspaceOf(String key) {
        return workspacesByKey.map(workspaces -> workspaces.get(key)).orElse(null);
    }

    /** Returns the service {@code name}, or null if there is none. */
    public TargetService service(String name) {
        return services.get(name);
    }

    /** Returns the route with the longest matching path prefix, or null if none matches. */
    public Route match(String host, String path) {
        String name = host.toLowerCase(Locale.ROOT);
        int colon = name.lastIndexOf(':');
        List<Route> routes = routesByHost.get(name);
        if (routes == null && colon > 0) {
            routes = routesByHost.get(name.substring(0, colon));
        }
        if (routes == null) {
            return null;
        }
        for (Route route : routes) {
            if (path.startsWith(route.pathPrefix())) {
                return route;
            }
        }
        return null;
    }
}
