package org.skylarkmast.bench.cluster;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** The bearer keys of a cluster's operators and callers. */
public final class BearerKeys {

    /** The operators' key. */
    public static final String OPERATOR = "operator-key";

    private BearerKeys() {}

    /** Returns the key of a workspace's callers. */
    public static String ofWorkspace(String workspace) {
        return "key-of-" + workspace;
    }

    /** Returns the SHA-256 digest of {@code key} in lower-case hex. */
    public static String sha256(String key) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            return HexFormat.of().formatHex(digest.digest(key.getBytes(StandardCharsets.UTF_8)));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is not available in this Java runtime", e);
        }
    }
}
