package org.skylarkmast.relay.quarantine;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Comparator;
import java.util.HexFormat;
import java.util.Optional;

/**
 * Identifies what a request asks for, whoever sends it and under whatever id: the first 128 bits of
 * a SHA-256 digest.
 *
 * @param high the first 64 bits
 * @param low the next 64 bits
 */
public record RequestFingerprint(long high, long low) implements Comparable<RequestFingerprint> {
    private static final Comparator<RequestFingerprint> ORDER =
            Comparator.comparingLong(RequestFingerprint::high)
                    .thenComparingLong(RequestFingerprint::low);

    /**
     * Returns the fingerprint of a request.
     *
     * @param workspace name of the workspace whose request it is, if any
     * @param body body as its caller sent it
     */
    public static RequestFingerprint of(
            Optional<String> workspace, String method, String host, String target, byte[] body) {
        MessageDigest digest = sha256();
        update(digest, method.getBytes(StandardCharsets.UTF_8));
        update(digest, host.getBytes(StandardCharsets.UTF_8));
        update(digest, target.getBytes(StandardCharsets.UTF_8));
        update(digest, body);
        // Without a workspace the fingerprint is that of earlier releases.
        workspace.ifPresent(name -> update(digest, name.getBytes(StandardCharsets.UTF_8)));
        ByteBuffer bytes = ByteBuffer.wrap(digest.digest());
        return new RequestFingerprint(bytes.getLong(), bytes.getLong());
    }

    /** The length in front of each field keeps fields from running into each other. */
    private static void update(MessageDigest digest, byte[] field) {
        digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(field.length).flip());
        digest.update(field);
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }

    /** Returns the 32 hexadecimal digits, as in logs. */
    public String hex() {
        HexFormat format = HexFormat.of();
        return format.toHexDigits(high) + format.toHexDigits(low);
    }

    @Override
    public int compareTo(RequestFingerprint other) {
        return ORDER.compare(this, other);
    }

    @Override
    public String toString() {
        return hex();
    }
}
