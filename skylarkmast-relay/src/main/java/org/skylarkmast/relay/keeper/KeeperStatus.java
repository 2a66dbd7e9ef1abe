package org.skylarkmast.relay.keeper;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import org.skylarkmast.relay.ledger.KeeperView;
import org.skylarkmast.relay.ledger.LedgerCodec;

/**
 * What a keeper tells another about itself.
 *
 * @param view newest view it knows
 * @param voting whether it takes part in quorums
 * @param syncedVersion view version under which it last fetched all that others hold
 */
public record KeeperStatus(KeeperView view, boolean voting, long syncedVersion) {

    void write(DataOutputStream out) throws IOException {
        LedgerCodec.writeView(out, view);
        out.writeBoolean(voting);
        out.writeLong(syncedVersion);
    }

    static KeeperStatus read(DataInputStream in) throws IOException {
        return new KeeperStatus(LedgerCodec.readView(in), in.readBoolean(), in.readLong());
    }
}
