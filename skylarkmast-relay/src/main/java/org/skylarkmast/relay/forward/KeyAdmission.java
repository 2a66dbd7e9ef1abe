package org.skylarkmast.relay.forward;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Supplier;
import org.skylarkmast.relay.http.InboundRequest;
import org.skylarkmast.relay.route.Route;
import org.skylarkmast.relay.route.RoutingConfiguration;
import org.skylarkmast.relay.route.Workspace;

/**
 * Decides by its key whether a request is served, when it arrives and again before each send to a
 * runner; thread-safe.
 */
public final class KeyAdmission {

    /**
     * Bounds of the Retry-After while the configuration is not known to be the newest: a storage
     * node confirms it about once a second, and an outage lasts on average about as long again as
     * it has lasted.
     */
    private static final long MIN_PROOF_RETRY_AFTER_MS = 250;

    private static final long MAX_PROOF_RETRY_AFTER_MS = 2000;

    /** Retry-After of a request that the newest configuration treats differently. */
    private static final long CHANGED_RETRY_AFTER_MS = 100;

    private final WireDialect dialect;
    private final Supplier<RoutingConfiguration> current;
    private final Supplier<OptionalLong> proofOverdueMs;
    private final WorkspaceRequests requests;
    private final Counter rejections;

    /** Why a request is rejected; the lower-case name is the metric's label. */
    private enum Reason {
        NO_KEY,
        UNKNOWN_KEY,
        PROOF_TOO_OLD,
        WITHDRAWN_KEY,
        CONFIGURATION_CHANGED
    }

    /**
     * @param current returns the configuration in force, not null once there was one
     * @param proofOverdueMs returns the time for which the configuration in force has not been
     *     known to be recent enough for callers' keys; empty if it is
     */
    public KeyAdmission(
            WireDialect dialect,
            Supplier<RoutingConfiguration> current,
            Supplier<OptionalLong> proofOverdueMs,
            PrometheusRegistry registry) {
        this.dialect = dialect;
        this.current = current;
        this.proofOverdueMs = proofOverdueMs;
        this.requests = new WorkspaceRequests(registry);
        this.rejections =
                Counter.builder()
                        .name("skylarkmast_key_rejections_total")
                        .help("Requests that were rejected on account of their key, by reason.")
                        .labelNames("reason")
                        .register(registry);
    }

    /** Decides on a request that has arrived and matches {@code route}, and counts it. */
    KeyDecision decide(RoutingConfiguration configuration, Route route, InboundRequest request) {
        KeyDecision decision = decideByHead(configuration, route, request);
        if (decision instanceof KeyDecision.Admitted admitted) {
            admitted.identity().workspaceName().ifPresent(requests::count);
        }
        return decision;
    }

    /** Decides on a request whose head has arrived; one that is admitted is decided on again. */
    KeyDecision decideByHead(
            RoutingConfiguration configuration, Route route, InboundRequest request) {
        if (!configuration.hasWorkspaces()) {
            return new KeyDecision.Admitted(new CallerIdentity.Undeclared());
        }
        if (route.isPublic()) {
            return new KeyDecision.Admitted(new CallerIdentity.Anonymous());
        }
        Optional<String> key = dialect.callerKey(request.fields());
        if (key.isEmpty()) {
            return rejected(Reason.NO_KEY, Refusal.of(401, "one Bearer key is required"), "");
        }
        Workspace workspace = configuration.workspaceOf(key.get());
        String name = workspace == null ? "" : workspace.name();
        // A newer configuration may list a key that this one does not.
        OptionalLong overdueMs = proofOverdueMs.get();
        if (overdueMs.isPresent()) {
            return rejected(Reason.PROOF_TOO_OLD, proofTooOld(overdueMs.getAsLong()), name);
        }
        if (workspace == null) {
            return rejected(Reason.UNKNOWN_KEY, Refusal.of(401, "unknown key"), "");
        }
        return new KeyDecision.Admitted(new CallerIdentity.Keyed(workspace, key.get()));
    }

    /**
     * Returns why a request that was admitted must not be sent to a runner any more; empty if it
     * may. The configuration may have changed since, and the process may have been paused.
     */
    Optional<Refusal> refusalBeforeSend(CallerIdentity identity, InboundRequest request) {
        // Read before the configuration, which is then at least as new as the proof confirms.
        OptionalLong overdueMs = proofOverdueMs.get();
        RoutingConfiguration configuration = current.get();
        return switch (identity) {
            case CallerIdentity.Undeclared undeclared ->
                    configuration.hasWorkspaces() ? configurationChanged() : Optional.empty();
            case CallerIdentity.Anonymous anonymous ->
                    needsKey(configuration, request) ? configurationChanged() : Optional.empty();
            case CallerIdentity.Keyed keyed -> {
                if (!configuration.hasWorkspaces()) {
                    yield Optional.empty();
                }
                if (overdueMs.isPresent()) {
                    count(Reason.PROOF_TOO_OLD);
                    yield Optional.of(proofTooOld(overdueMs.getAsLong()));
                }
                yield refusalOfKey(keyed, configuration);
            }
        };
    }

    private Optional<Refusal> refusalOfKey(
            CallerIdentity.Keyed keyed, RoutingConfiguration configuration) {
        Workspace workspace = configuration.workspaceOf(keyed.key());
        if (workspace == null) {
            count(Reason.WITHDRAWN_KEY);
            return Optional.of(Refusal.of(401, "the key was withdrawn"));
        }
        return workspace.name().equals(keyed.owner().name())
                ? Optional.empty()
                : configurationChanged();
    }

    private static boolean needsKey(RoutingConfiguration configuration, InboundRequest request) {
        Route route = configuration.match(request.fields().first("Host"), request.path());
        return configuration.hasWorkspaces() && route != null && !route.isPublic();
    }

    private Optional<Refusal> configurationChanged() {
        count(Reason.CONFIGURATION_CHANGED);
        return Optional.of(
                Refusal.notRun(
                        CHANGED_RETRY_AFTER_MS, "a new configuration changed what it needs"));
    }

    private static Refusal proofTooOld(long overdueMs) {
        return Refusal.notRun(
                Math.clamp(overdueMs, MIN_PROOF_RETRY_AFTER_MS, MAX_PROOF_RETRY_AFTER_MS),
                "configuration not confirmed as the newest in time");
    }

    private KeyDecision rejected(Reason reason, Refusal refusal, String workspace) {
        count(reason);
        return new KeyDecision.Rejected(refusal, workspace);
    }

    private void count(Reason reason) {
        rejections.labelValues(reason.name().toLowerCase(java.util.Locale.ROOT)).inc();
    }
}
