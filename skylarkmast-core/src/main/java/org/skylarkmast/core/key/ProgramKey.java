package org.skylarkmast.core.key;

import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32C;

/**
 * The identity of a program or of one of its sub-agents.
 *
 * @param workspace owner's name; ids of different workspaces never meet
 * @param id id given by the caller; a sub-agent's id is its parent's, a slash and a name of its own
 */
public record ProgramKey(String workspace, String id) {

    /** Number of partitions; fixed, since it decides which partition a stored program is in. */
    public static final int PARTITIONS = 256;

    /** The id of the root program. */
    public String rootId() {
        int slash = id.indexOf('/');
        return slash < 0 ? id : id.substring(0, slash);
    }

    /** The key of the root program; itself for a root. */
    public ProgramKey root() {
        return new ProgramKey(workspace, rootId());
    }

    /** Levels below the root; 0 for a root. */
    public int depth() {
        return (int) id.chars().filter(c -> c == '/').count();
    }

    /** The partition that holds the root program and so all of its sub-agents. */
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
