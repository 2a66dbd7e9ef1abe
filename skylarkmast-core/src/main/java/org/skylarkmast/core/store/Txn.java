package org.skylarkmast.core.store;

import java.util.List;

/**
 * A transaction: all writes take effect at one revision if all conditions hold; otherwise none
 * does.
 *
 * @param conditions at most {@link #MAX_OPERATIONS}
 * @param writes at most {@link #MAX_OPERATIONS}
 * @param readOnFailure keys whose current entries are returned when a condition does not hold
 */
public record Txn(List<Condition> conditions, List<Write> writes, List<String> readOnFailure) {

    /** Operations the service accepts in each list of one transaction (etcd's default). */
    public static final int MAX_OPERATIONS = 128;

    public Txn {
        conditions = List.copyOf(conditions);
        writes = List.copyOf(writes);
        readOnFailure = List.copyOf(readOnFailure);
        if (conditions.size() > MAX_OPERATIONS
                || writes.size() > MAX_OPERATIONS
                || readOnFailure.size() > MAX_OPERATIONS) {
            throw new IllegalArgumentException(
                    "a list of the transaction has more operations than the limit of "
                            + MAX_OPERATIONS);
        }
    }

    /** A transaction that reads nothing back when a condition fails. */
    public Txn(List<Condition> conditions, List<Write> writes) {
        this(conditions, writes, List.of());
    }
}
