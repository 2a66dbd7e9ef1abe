package org.skylarkmast.relay.limit;

import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.zip.CRC32C;
import org.skylarkmast.relay.ledger.LedgerView;

/**
 * Chooses the storage node that decides on a key for all entry nodes.
 *
 * <p>It is chosen by rendezvous hashing among the members of the view, reachable or not: two
 * storage nodes that both decide on a key would double its limit.
 */
final class StorageNodeSelection {
    private StorageNodeSelection() {}

    /** Returns the member of {@code view} that decides on {@code key}; empty without members. */
    static Optional<LedgerView.Member> select(LedgerView view, String key) {
        return view.members().stream()
                .max(
                        Comparator.<LedgerView.Member>comparingLong(member -> rank(member, key))
                                .thenComparing(LedgerView.Member::node));
    }

    /** Mixes the two checksums, which by themselves would favor some storage nodes. */
    private static long rank(LedgerView.Member member, String key) {
        long seed = (checksum(member.node()) << Integer.SIZE) | checksum(key);
        return new SplittableRandom(seed).nextLong();
    }

    private static long checksum(String text) {
        CRC32C crc = new CRC32C();
        crc.update(text.getBytes(StandardCharsets.UTF_8));
        return crc.getValue();
    }
}
