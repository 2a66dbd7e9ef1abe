package org.skylarkmast.relay.mirror;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.skylarkmast.core.store.StoreEntry;
import org.skylarkmast.relay.ledger.LedgerCodec;

/** The binary form of changes, by the JDK's data streams. */
public final class MirrorCodec {
    private MirrorCodec() {}

    /**
     * A question for changes.
     *
     * @param knownRevision what the asker knows already, 0 for nothing
     * @param knownDigest the asker's {@link StoreMirror#digest}
     * @param waitMs how long to wait while there is nothing newer
     * @param first whether only the answering process's own connection to the service counts:
     *     storage nodes must not confirm each other in a circle
     */
    public record Question(long knownRevision, long knownDigest, int waitMs, boolean first) {}

    /** The bytes of a question. */
    public static byte[] encode(Question question) {
        return LedgerCodec.encode(
                out -> {
                    out.writeLong(question.knownRevision());
                    out.writeLong(question.knownDigest());
                    out.writeInt(question.waitMs());
                    out.writeBoolean(question.first());
                });
    }

    /** Reads a question. */
    public static Question readQuestion(DataInputStream in) throws IOException {
        return new Question(in.readLong(), in.readLong(), in.readInt(), in.readBoolean());
    }

    /** Writes changes. */
    public static void write(DataOutputStream out, MirrorChanges changes) throws IOException {
        out.writeLong(changes.revision());
        out.writeBoolean(changes.whole());
        out.writeBoolean(changes.live());
        out.writeInt(changes.written().size());
        for (StoreEntry entry : changes.written()) {
            out.writeUTF(entry.key());
            LedgerCodec.writeBytes(out, entry.value());
            out.writeLong(entry.createRevision());
            out.writeLong(entry.modRevision());
            out.writeLong(entry.leaseId());
        }
        out.writeInt(changes.removed().size());
        for (MirrorChanges.Removed removed : changes.removed()) {
            out.writeUTF(removed.key());
            out.writeLong(removed.revision());
        }
    }

    /** Reads changes. */
    public static MirrorChanges read(DataInputStream in) throws IOException {
        long revision = in.readLong();
        boolean whole = in.readBoolean();
        boolean live = in.readBoolean();
        List<StoreEntry> written = new ArrayList<>();
        for (int left = in.readInt(); left > 0; left--) {
            written.add(
                    new StoreEntry(
                            in.readUTF(),
                            LedgerCodec.readBytes(in),
                            in.readLong(),
                            in.readLong(),
                            in.readLong()));
        }
        List<MirrorChanges.Removed> removed = new ArrayList<>();
        for (int left = in.readInt(); left > 0; left--) {
            removed.add(new MirrorChanges.Removed(in.readUTF(), in.readLong()));
        }
        return new MirrorChanges(revision, whole, live, written, removed);
    }
}
