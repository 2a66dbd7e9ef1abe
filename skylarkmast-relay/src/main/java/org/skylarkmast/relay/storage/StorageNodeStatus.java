package org.skylarkmast.relay.storage;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import org.skylarkmast.relay.ledger.LedgerCodec;
import org.skylarkmast.relay.ledger.LedgerView;

/**
 * The status that a storage node reports to others.
 *
 * @param view newest view that it has received
 * @param voting whether it takes part in quorums
 * @param syncedVersion version of the view under which its last complete sync ran
 */
public record StorageNodeStatus(LedgerView view, boolean voting, long syncedVersion) {

    void write(DataOutputStream out) throws IOException {
        LedgerCodec.writeView(out, view);
        out.writeBoolean(voting);
        out.writeLong(syncedVersion);
    }

    static StorageNodeStatus read(DataInputStream in) throws IOException {
        return new StorageNodeStatus(LedgerCodec.readView(in), in.readBoolean(), in.readLong());
    }
}
