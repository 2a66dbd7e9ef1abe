package org.skylarkmast.core.key;

import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32C;

/**
 * The identity of a program or of one of its sub-agents.
 *
 * @param workspace name of the workspace that owns the program; ids need to be unique only within a
 *     workspace
 * @param id id chosen by the caller; the id of a sub-agent is the id of its parent, a slash and its
 *     own name
 */
public record ProgramKey(String workspace, String id) {

    /**
     * Number of partitions; must not change, since it determines the partition of stored programs.
     */
    public static final int PARTITIONS = 256;

    /** The id of the root program. */
    public String rootId() {
        int slash = id.indexOf('/');
        return slash < 0 ? id : id.substring(0, slash);
    }

    /** The key of the root program; equal to this key for a root. */
    public ProgramKey root() {
        return new ProgramKey(workspace, rootId());
    }

    /** Number of levels below the root; 0 for a root. */
    public int depth() {
        return (int) id.chars().filter(c -> c == '/').count();
    }

    /** The partition of the root program and thus of all of its sub-agents. */
    public int partition() {
        CRC32C crc = new CRC32C();
        crc.update((workspace + '\0' + rootId()).getBytes(StandardCharsets.UTF_8));
        return (int) (crc.getValue() % PARTITIONS);
    }

    @Override
    public String toString() {
        return workspace + ":" + id;
    }
}
