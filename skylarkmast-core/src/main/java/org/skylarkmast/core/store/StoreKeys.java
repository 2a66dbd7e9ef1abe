package org.skylarkmast.core.store;

/** The keys under which the scheduler stores data in the key-value service. */
public final class StoreKeys {

    /** Prefix of every key. */
    public static final String ROOT = "/skylarkmast/";

    /** Prefix of session keys; each key is bound to the lease of its node. */
    public static final String SESSIONS = ROOT + "sessions/";

    /** Prefix of partition ownership records. */
    public static final String PARTITIONS = ROOT + "partitions/";

    /** Prefix of journal records and snapshots. */
    public static final String JOURNAL = ROOT + "journal/";

    /** Prefix of the configuration's head and chunks. */
    public static final String CONFIGURATION = ROOT + "configuration/";

    private StoreKeys() {}

    /** Key of the session of a node incarnation. */
    public static String session(String incarnation) {
        return SESSIONS + incarnation;
    }

    /** Key of the ownership record of a partition. */
    public static String partition(int partition) {
        return PARTITIONS + String.format("%03d", partition);
    }

    /** Prefix of a partition's journal. */
    public static String journalOf(int partition) {
        return JOURNAL + String.format("%03d/", partition);
    }

    /** Prefix of the record batches of a partition. */
    public static String journalRecords(int partition) {
        return journalOf(partition) + "r/";
    }

    /** Key of the batch whose last record is {@code lastSequence}; key order is batch order. */
    public static String journalRecord(int partition, long lastSequence) {
        return journalRecords(partition) + hex(lastSequence);
    }

    /** Key of the head, which identifies the current snapshot. */
    public static String journalHead(int partition) {
        return journalOf(partition) + "head";
    }

    /** Prefix of the snapshots of a partition. */
    public static String journalSnapshots(int partition) {
        return journalOf(partition) + "s/";
    }

    /** Prefix of the chunks of one snapshot. */
    public static String journalSnapshot(int partition, long generation) {
        return journalSnapshots(partition) + hex(generation) + "/";
    }

    /** Key of one chunk of a snapshot; key order is chunk order. */
    public static String journalChunk(int partition, long generation, int index) {
        return journalSnapshot(partition, generation) + String.format("%08x", index);
    }

    private static String hex(long number) {
        return String.format("%016x", number);
    }

    /**
     * Returns the exclusive upper bound of the keys that start with {@code prefix}, which must not
     * be empty.
     */
    public static String endOfPrefix(String prefix) {
        int last = prefix.length() - 1;
        return prefix.substring(0, last) + (char) (prefix.charAt(last) + 1);
    }
}
