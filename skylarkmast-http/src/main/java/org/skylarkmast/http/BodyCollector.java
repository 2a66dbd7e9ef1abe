package org.skylarkmast.http;

import java.io.IOException;
import java.io.InputStream;
import java.util.Arrays;

/** Reads bodies into memory that grows as bytes arrive, whatever length was announced. */
public final class BodyCollector {
    private static final int FIRST_BYTES = 4096;

    private BodyCollector() {}

    /**
     * Reads a body.
     *
     * @param announcedBytes announced length, or -1 if none was
     * @param maxBytes maximum length
     * @param meter charged with each growth, before it is allocated
     * @return the body, or null if it is longer than {@code maxBytes}
     */
    public static byte[] collect(
            InputStream body, long announcedBytes, long maxBytes, IntakeMeter meter)
            throws IOException {
        if (announcedBytes > maxBytes) {
            return null;
        }
        boolean announced = announcedBytes >= 0;
        int maxCapacity =
                (int) Math.min(announced ? announcedBytes : maxBytes + 1, Integer.MAX_VALUE - 8);
        byte[] bytes = new byte[0];
        int count = 0;
        while (!announced || count < announcedBytes) {
            if (count == bytes.length) {
                if (count == maxCapacity) {
                    return null;
                }
                int capacity = (int) Math.min(maxCapacity, Math.max(FIRST_BYTES, count * 2L));
                meter.charge(capacity - count);
                bytes = Arrays.copyOf(bytes, capacity);
            }
            int read = body.read(bytes, count, bytes.length - count);
            if (read < 0) {
                break;
            }
            count += read;
        }
        return count > maxBytes
                ? null
                : count == bytes.length ? bytes : Arrays.copyOf(bytes, count);
    }
}
