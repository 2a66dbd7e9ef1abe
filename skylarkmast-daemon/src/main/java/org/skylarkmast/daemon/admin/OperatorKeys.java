package org.skylarkmast.daemon.admin;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.List;
import org.skylarkmast.core.config.ConfigurationChunks;
import org.skylarkmast.http.ServerRequest;

/** Authenticates operators by bearer keys, of which only the SHA-256 digests are stored. */
final class OperatorKeys {
    private static final String SCHEME = "Bearer ";

    private final List<byte[]> digests;

    OperatorKeys(List<String> keySha256) {
        this.digests = keySha256.stream().map(OperatorKeys::bytes).toList();
    }

    /** Whether {@code call} carries an operator's key; takes equally long for every wrong key. */
    boolean isAuthorized(ServerRequest call) {
        String header = call.header("authorization").orElse("");
        if (!header.regionMatches(true, 0, SCHEME, 0, SCHEME.length())) {
            return false;
        }
        String key = header.substring(SCHEME.length()).trim();
        byte[] digest = bytes(ConfigurationChunks.sha256(key.getBytes(StandardCharsets.UTF_8)));
        boolean authorized = false;
        for (byte[] known : digests) {
            authorized |= MessageDigest.isEqual(known, digest);
        }
        return authorized;
    }

    private static byte[] bytes(String digest) {
        return digest.getBytes(StandardCharsets.US_ASCII);
    }
}
