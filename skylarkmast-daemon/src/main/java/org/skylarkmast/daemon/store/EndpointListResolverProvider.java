package org.skylarkmast.daemon.store;

import io.grpc.EquivalentAddressGroup;
import io.grpc.NameResolver;
import io.grpc.NameResolverProvider;
import io.grpc.StatusOr;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.ArrayList;
import java.util.List;

/**
 * Resolves a fixed list of IP addresses, {@code skylarkmast-endpoints:///10.0.0.1:1,10.0.0.2:1}.
 *
 * <p>Loaded by gRPC through the service loader; the channel uses the first reachable address.
 */
public final class EndpointListResolverProvider extends NameResolverProvider {
    static final String SCHEME = "skylarkmast-endpoints";

    /** Below the priority of DNS, so that DNS stays the default scheme of targets without one. */
    private static final int PRIORITY = 4;

    /** Returns the target URI for {@code endpoints}, each {@code address:port}. */
    static String target(List<String> endpoints) {
        return SCHEME + ":///" + String.join(",", endpoints);
    }

    @Override
    public NameResolver newNameResolver(URI targetUri, NameResolver.Args args) {
        if (!SCHEME.equals(targetUri.getScheme())) {
            return null;
        }
        String[] endpoints = targetUri.getPath().substring(1).split(",", -1);
        List<EquivalentAddressGroup> addresses = new ArrayList<>();
        for (String endpoint : endpoints) {
            addresses.add(new EquivalentAddressGroup(parse(endpoint)));
        }
        return new FixedResolver(endpoints[0], List.copyOf(addresses));
    }

    @Override
    public String getDefaultScheme() {
        return SCHEME;
    }

    @Override
    protected boolean isAvailable() {
        return true;
    }

    @Override
    protected int priority() {
        return PRIORITY;
    }

    private static InetSocketAddress parse(String endpoint) {
        int colon = endpoint.lastIndexOf(':');
        if (colon < 0) {
            throw new IllegalArgumentException(
                    "expected address:port, found no port in " + endpoint);
        }
        return new InetSocketAddress(
                InetAddress.ofLiteral(endpoint.substring(0, colon)),
                Integer.parseInt(endpoint.substring(colon + 1)));
    }

    private static final class FixedResolver extends NameResolver {
        private final String authority;
        private final List<EquivalentAddressGroup> addresses;

        FixedResolver(String authority, List<EquivalentAddressGroup> addresses) {
            this.authority = authority;
            this.addresses = addresses;
        }

        @Override
        public String getServiceAuthority() {
            return authority;
        }

        @Override
        public void start(Listener2 listener) {
            listener.onResult(
                    ResolutionResult.newBuilder()
                            .setAddressesOrError(StatusOr.fromValue(addresses))
                            .build());
        }

        @Override
        public void shutdown() {}
    }
}
