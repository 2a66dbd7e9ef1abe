package org.skylarkmast.daemon.configuration;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.Optional;
import org.skylarkmast.core.config.Configuration;
import org.skylarkmast.core.config.ConfigurationSnapshot;
import org.skylarkmast.core.config.ValidationOutcome;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The last accepted configuration in a node's data folder.
 *
 * <p>Written to a file beside it, forced to disk and renamed, so that a crash leaves the old or the
 * new one whole. Not thread-safe; its keeper calls it under its lock.
 */
public final class ConfigurationFile {
    private static final Logger LOG = LoggerFactory.getLogger(ConfigurationFile.class);

    private static final String FILE_NAME = "configuration.json";

    private final Path file;
    private final Path unfinished;

    /**
     * Names the file; nothing is read or written yet.
     *
     * @param dataFolder folder that holds the file
     */
    public ConfigurationFile(Path dataFolder) {
        this.file = dataFolder.resolve(FILE_NAME);
        this.unfinished = dataFolder.resolve(FILE_NAME + ".tmp");
    }

    /** The configuration stored; empty if there is none or it cannot be used. */
    public Optional<Configuration> load() {
        try {
            return switch (ConfigurationSnapshot.decode(Files.readAllBytes(file))) {
                case ValidationOutcome.Valid valid -> Optional.of(valid.configuration());
                case ValidationOutcome.Invalid invalid -> {
                    LOG.atError()
                            .addKeyValue("event", "configuration_file_unusable")
                            .addKeyValue("file", file)
                            .addKeyValue("problem", invalid.problems().getFirst())
                            .log();
                    yield Optional.empty();
                }
            };
        } catch (NoSuchFileException e) {
            return Optional.empty();
        } catch (IOException e) {
            LOG.atError()
                    .addKeyValue("event", "configuration_file_unreadable")
                    .addKeyValue("file", file)
                    .setCause(e)
                    .log();
            return Optional.empty();
        }
    }

    /** Stores {@code configuration}; returns whether it is on disk. */
    public boolean save(Configuration configuration) {
        try {
            Files.createDirectories(file.toAbsolutePath().getParent());
            try (FileChannel channel =
                    FileChannel.open(
                            unfinished,
                            StandardOpenOption.CREATE,
                            StandardOpenOption.TRUNCATE_EXISTING,
                            StandardOpenOption.WRITE)) {
                ByteBuffer bytes = ByteBuffer.wrap(ConfigurationSnapshot.encode(configuration));
                while (bytes.hasRemaining()) {
                    channel.write(bytes);
                }
                channel.force(true);
            }
            Files.move(
                    unfinished,
                    file,
                    StandardCopyOption.ATOMIC_MOVE,
                    StandardCopyOption.REPLACE_EXISTING);
            return true;
        } catch (IOException e) {
            LOG.atError()
                    .addKeyValue("event", "configuration_file_not_written")
                    .addKeyValue("file", file)
                    .addKeyValue("revision", configuration.revision())
                    .setCause(e)
                    .log();
            return false;
        }
    }
}
