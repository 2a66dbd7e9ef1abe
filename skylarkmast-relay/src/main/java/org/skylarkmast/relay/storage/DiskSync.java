package org.skylarkmast.relay.storage;

import java.io.IOException;
import java.nio.channels.FileChannel;

/** Makes what was written to a file survive a power loss. */
@FunctionalInterface
public interface DiskSync {

    /** Waits until the file system reports the file's data as stored. */
    DiskSync FILE_DATA = channel -> channel.force(false);

    /**
     * Returns once everything written to {@code channel} is stored.
     *
     * @throws IOException if the disk reports a failure
     */
    void sync(FileChannel channel) throws IOException;
}
