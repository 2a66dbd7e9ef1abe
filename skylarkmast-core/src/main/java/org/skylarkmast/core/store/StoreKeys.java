package org.skylarkmast.core.store;

/** The names of all keys that the scheduler keeps in the key-value service. */
public final class StoreKeys {

    /** Prefix of every key. */
    public static final String ROOT = "/skylarkmast/";

    /** Prefix of session keys; each is bound to its node's lease. */
    public static final String SESSIONS = ROOT + "sessions/";

    /** Prefix of partition ownership records. */
    public static final String PARTITIONS = ROOT + "partitions/";

    /** Prefix of journal records and snapshots. */
    public static final String JOURNAL = ROOT + "journal/";

    /** Prefix of the configuration's head and chunks. */
    public static final String CONFIGURATION = ROOT + "configuration/";

    private StoreKeys() {}

    /** The session key of a node incarnation. */
    public static String session(String incarnation) {
        return SESSIONS + incarnation;
    }

    /** The ownership record of a partition. */
    public static String partition(int partition) {
        return PARTITIONS + String.format("%03d", partition);
    }

    /** Prefix of a partition's journal. */
    public static String journalOf(int partition) {
        return JOURNAL + String.format("%03d/", partition);
    }

    /** Key of one journal record; key order is the order of the records. */
    public static String journalRecord(int partition, long sequence) {
        return journalOf(partition) + String.format("%016x", sequence);
    }

    /** The first key after all keys that start with {@code prefix}, which must not be empty. */
    public static String endOfPrefix(String prefix) {
        int last = prefix.length() - 1;
        return prefix.substring(0, last) + (char) (prefix.charAt(last) + 1);
    }
}
