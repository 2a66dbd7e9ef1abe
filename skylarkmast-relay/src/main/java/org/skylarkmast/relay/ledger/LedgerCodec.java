package org.skylarkmast.relay.ledger;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Encodes and decodes ledger messages and log entries in the format of the JDK's data streams. */
public final class LedgerCodec {

    /** Largest byte field accepted, so that a corrupt length cannot exhaust the heap. */
    private static final int MAX_FIELD_BYTES = 64 << 20;

    private LedgerCodec() {}

    /** Writes one message. */
    @FunctionalInterface
    public interface Writer {

        /** Writes to {@code out}. */
        void write(DataOutputStream out) throws IOException;
    }

    /** Reads one message. */
    @FunctionalInterface
    public interface Reader<T> {

        /** Reads from {@code in}. */
        T read(DataInputStream in) throws IOException;
    }

    /** Returns the bytes that {@code writer} writes. */
    public static byte[] encode(Writer writer) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            writer.write(out);
        } catch (IOException e) {
            throw new UncheckedIOException("writing to memory failed", e);
        }
        return bytes.toByteArray();
    }

    /**
     * Decodes {@code bytes} with {@code reader}.
     *
     * @throws IOException if the bytes are not a message in the expected format
     */
    public static <T> T decode(byte[] bytes, Reader<T> reader) throws IOException {
        try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes))) {
            return reader.read(in);
        }
    }

    /** Writes a turn. */
    public static void writeTurn(DataOutputStream out, TurnRecord turn) throws IOException {
        out.writeUTF(turn.id());
        out.writeUTF(turn.previous());
        writeBytes(out, turn.input());
        writeBytes(out, turn.output());
        out.writeLong(turn.retentionMs());
    }

    /** Reads a turn. */
    public static TurnRecord readTurn(DataInputStream in) throws IOException {
        return new TurnRecord(
                in.readUTF(), in.readUTF(), readBytes(in), readBytes(in), in.readLong());
    }

    /** Writes usages. */
    public static void writeUsages(DataOutputStream out, List<Usage> usages) throws IOException {
        out.writeInt(usages.size());
        for (Usage usage : usages) {
            out.writeUTF(usage.attempt());
            out.writeInt(usage.tokens());
            out.writeBoolean(usage.settled());
        }
    }

    /** Reads usages. */
    public static List<Usage> readUsages(DataInputStream in) throws IOException {
        int count = in.readInt();
        List<Usage> usages = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            usages.add(new Usage(in.readUTF(), in.readInt(), in.readBoolean()));
        }
        return usages;
    }

    /** Writes origins of streams. */
    public static void writeOrigins(DataOutputStream out, Collection<StreamOrigin> origins)
            throws IOException {
        out.writeInt(origins.size());
        for (StreamOrigin origin : origins) {
            out.writeUTF(origin.service());
            out.writeUTF(origin.softwareVersion());
        }
    }

    /**
     * Reads origins of streams. Messages and nodes of earlier releases have none: a message that
     * ends here is read as an empty set.
     */
    public static Set<StreamOrigin> readOrigins(DataInputStream in) throws IOException {
        Set<StreamOrigin> origins = new HashSet<>();
        if (in.available() == 0) {
            return origins;
        }
        int count = in.readInt();
        for (int i = 0; i < count; i++) {
            origins.add(new StreamOrigin(in.readUTF(), in.readUTF()));
        }
        return origins;
    }

    /** Writes ids. */
    public static void writeIds(DataOutputStream out, Collection<String> ids) throws IOException {
        out.writeInt(ids.size());
        for (String id : ids) {
            out.writeUTF(id);
        }
    }

    /** Reads ids; none from a message of an earlier release, which ends here. */
    public static Set<String> readIds(DataInputStream in) throws IOException {
        Set<String> ids = new HashSet<>();
        int count = in.available() == 0 ? 0 : in.readInt();
        for (int i = 0; i < count; i++) {
            ids.add(in.readUTF());
        }
        return ids;
    }

    /** Writes a view. */
    public static void writeView(DataOutputStream out, LedgerView view) throws IOException {
        out.writeLong(view.version());
        out.writeInt(view.members().size());
        for (LedgerView.Member member : view.members()) {
            out.writeUTF(member.node());
            out.writeUTF(member.address());
        }
    }

    /** Reads a view. */
    public static LedgerView readView(DataInputStream in) throws IOException {
        long version = in.readLong();
        int count = in.readInt();
        List<LedgerView.Member> members = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            members.add(new LedgerView.Member(in.readUTF(), in.readUTF()));
        }
        return new LedgerView(version, members);
    }

    /** Writes bytes, prefixed with their length. */
    public static void writeBytes(DataOutputStream out, byte[] bytes) throws IOException {
        out.writeInt(bytes.length);
        out.write(bytes);
    }

    /** Reads bytes that are prefixed with their length. */
    public static byte[] readBytes(DataInputStream in) throws IOException {
        int length = in.readInt();
        if (length < 0 || length > MAX_FIELD_BYTES) {
            throw new IOException("byte field length negative or above 64 MiB: " + length);
        }
        return in.readNBytes(length);
    }
}
