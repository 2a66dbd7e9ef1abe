package org.skylarkmast.relay.limit;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Encodes and decodes requests for leases in the binary format of the JDK's data streams. */
public final class LeaseCodec {

    /** Largest number of workspaces in a message, so that a corrupt count cannot fill the heap. */
    private static final int MAX_ITEMS = 100_000;

    private LeaseCodec() {}

    /** Writes a request. */
    public static void writeRequest(DataOutputStream out, LeaseRequest request) throws IOException {
        out.writeUTF(request.node());
        out.writeInt(request.items().size());
        for (LeaseRequest.Item item : request.items()) {
            out.writeUTF(item.workspace());
            out.writeLong(item.version());
            out.writeDouble(item.requestsPerSecond());
            out.writeDouble(item.burst());
            out.writeInt(item.waiting());
            out.writeInt(item.wanted());
            out.writeInt(item.returned());
            out.writeInt(item.ownShareUsed());
        }
    }

    /**
     * Reads a request.
     *
     * @throws IOException if the data ends early or a number is out of range
     */
    public static LeaseRequest readRequest(DataInputStream in) throws IOException {
        String node = in.readUTF();
        int count = readCount(in);
        List<LeaseRequest.Item> items = new ArrayList<>();
        try {
            for (int i = 0; i < count; i++) {
                items.add(
                        new LeaseRequest.Item(
                                in.readUTF(),
                                in.readLong(),
                                in.readDouble(),
                                in.readDouble(),
                                in.readInt(),
                                in.readInt(),
                                in.readInt(),
                                in.readInt()));
            }
        } catch (IllegalArgumentException e) {
            throw new IOException(e.getMessage(), e);
        }
        return new LeaseRequest(node, items);
    }

    /** Writes the grants for the items of a request, in their order. */
    public static void writeGrants(DataOutputStream out, List<LeaseGrant> grants)
            throws IOException {
        out.writeInt(grants.size());
        for (LeaseGrant grant : grants) {
            out.writeInt(grant.tokens());
            out.writeLong(grant.waitMs());
            out.writeDouble(grant.share());
            out.writeDouble(grant.recentTokens());
            out.writeDouble(grant.level());
        }
    }

    /**
     * Reads grants.
     *
     * @throws IOException if the data ends early or the count is out of range
     */
    public static List<LeaseGrant> readGrants(DataInputStream in) throws IOException {
        int count = readCount(in);
        List<LeaseGrant> grants = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            grants.add(
                    new LeaseGrant(
                            in.readInt(),
                            in.readLong(),
                            in.readDouble(),
                            in.readDouble(),
                            in.readDouble()));
        }
        return grants;
    }

    /**
     * Writes the answer of a storage node that has passed a request on.
     *
     * @param grants empty if the granter did not answer
     */
    public static void writeRelayed(DataOutputStream out, Optional<List<LeaseGrant>> grants)
            throws IOException {
        out.writeBoolean(grants.isPresent());
        if (grants.isPresent()) {
            writeGrants(out, grants.get());
        }
    }

    /**
     * Reads the answer of a storage node that has passed a request on.
     *
     * @throws IOException if the data ends early or the count is out of range
     */
    public static Optional<List<LeaseGrant>> readRelayed(DataInputStream in) throws IOException {
        return in.readBoolean() ? Optional.of(readGrants(in)) : Optional.empty();
    }

    private static int readCount(DataInputStream in) throws IOException {
        int count = in.readInt();
        if (count < 0 || count > MAX_ITEMS) {
            throw new IOException("number of workspaces out of range: " + count);
        }
        return count;
    }
}
