package org.skylarkmast.relay.limit;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;

/** Encodes and decodes requests for sends in the binary format of the JDK's data streams. */
public final class SendGrantCodec {
    private SendGrantCodec() {}

    /** Writes a request. */
    public static void writeRequest(DataOutputStream out, SendRequest request) throws IOException {
        out.writeUTF(request.incarnation());
        out.writeDouble(request.requestsPerSecond());
        out.writeLong(request.maxWaitMs());
    }

    /**
     * Reads a request.
     *
     * @throws IOException if the data ends early or a number is out of range
     */
    public static SendRequest readRequest(DataInputStream in) throws IOException {
        try {
            return new SendRequest(in.readUTF(), in.readDouble(), in.readLong());
        } catch (IllegalArgumentException e) {
            throw new IOException(e.getMessage(), e);
        }
    }

    /** Writes a decision. */
    public static void writeGrant(DataOutputStream out, SendGrant grant) throws IOException {
        switch (grant) {
            case SendGrant.Granted granted -> {
                out.writeBoolean(true);
                out.writeLong(granted.waitMs());
                out.writeLong(granted.nextWaitMs());
            }
            case SendGrant.Denied denied -> {
                out.writeBoolean(false);
                out.writeLong(denied.waitMs());
            }
        }
    }

    /**
     * Reads a decision.
     *
     * @throws IOException if the data ends early
     */
    public static SendGrant readGrant(DataInputStream in) throws IOException {
        return in.readBoolean()
                ? new SendGrant.Granted(in.readLong(), in.readLong())
                : new SendGrant.Denied(in.readLong());
    }
}
