package org.skylarkmast.relay.mirror;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.skylarkmast.core.store.StoreEntry;
import org.skylarkmast.relay.ledger.LedgerCodec;

/** Encodes and decodes mirror changes in the binary format of the JDK's data streams. */
public final class MirrorCodec {
    private MirrorCodec() {}

    /**
     * A request for changes.
     *
     * @param knownRevision revision up to which the requester has all changes, 0 for none
     * @param knownDigest the requester's {@link StoreMirror#digest}
     * @param waitMs maximum time for which the responder waits for a newer revision
     * @param ownWatchOnly whether the responder may call itself up to date only on account of its
     *     own watch of the service, not of another storage node's answer, so that storage nodes do
     *     not confirm each other in a circle
     */
    public record ChangesRequest(
            long knownRevision, long knownDigest, int waitMs, boolean ownWatchOnly) {}

    /** Encodes a request. */
    public static byte[] encode(ChangesRequest request) {
        return LedgerCodec.encode(
                out -> {
                    out.writeLong(request.knownRevision());
                    out.writeLong(request.knownDigest());
                    out.writeInt(request.waitMs());
                    out.writeBoolean(request.ownWatchOnly());
                });
    }

    /** Reads a request. */
    public static ChangesRequest readRequest(DataInputStream in) throws IOException {
        return new ChangesRequest(in.readLong(), in.readLong(), in.readInt(), in.readBoolean());
    }

    /** Writes changes. */
    public static void write(DataOutputStream out, MirrorChanges changes) throws IOException {
        out.writeLong(changes.revision());
        out.writeBoolean(changes.snapshot());
        out.writeBoolean(changes.upToDate());
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
        // Nodes of earlier releases do not read what follows.
        out.writeBoolean(changes.proof().isPresent());
        if (changes.proof().isPresent()) {
            out.writeLong(changes.proof().get().ageMs());
            out.writeLong(changes.proof().get().revision());
        }
    }

    /** Reads the proof; a message of an earlier release ends before it. */
    private static Optional<CurrencyProof.Statement> readProof(DataInputStream in)
            throws IOException {
        return in.available() > 0 && in.readBoolean()
                ? Optional.of(new CurrencyProof.Statement(in.readLong(), in.readLong()))
                : Optional.empty();
    }

    /** Reads changes. */
    public static MirrorChanges read(DataInputStream in) throws IOException {
        long revision = in.readLong();
        boolean snapshot = in.readBoolean();
        boolean upToDate = in.readBoolean();
        List<StoreEntry> written = new ArrayList<>();
        for (int remaining = in.readInt(); remaining > 0; remaining--) {
            written.add(
                    new StoreEntry(
                            in.readUTF(),
                            LedgerCodec.readBytes(in),
                            in.readLong(),
                            in.readLong(),
                            in.readLong()));
        }
        List<MirrorChanges.Removed> removed = new ArrayList<>();
        for (int remaining = in.readInt(); remaining > 0; remaining--) {
            removed.add(new MirrorChanges.Removed(in.readUTF(), in.readLong()));
        }
        return new MirrorChanges(revision, snapshot, upToDate, written, removed, readProof(in));
    }
}
