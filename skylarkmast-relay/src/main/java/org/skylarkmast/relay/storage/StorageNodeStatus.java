package org.skylarkmast.relay.storage;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import org.skylarkmast.relay.ledger.LedgerCodec;
import org.skylarkmast.relay.ledger.LedgerView;

/**
 * What a storage node tells another about itself.
 *
 * @param view newest view it knows
 * @param voting whether it takes part in quorums
 * @param syncedVersion view version under which it last fetched all that others hold
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
