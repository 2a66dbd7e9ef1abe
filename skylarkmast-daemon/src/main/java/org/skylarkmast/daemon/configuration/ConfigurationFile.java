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
 * Stores the last accepted configuration in a node's data folder.
 *
 * <p>A new configuration is written to a temporary file in the same folder, forced to disk and
 * renamed, so that after a crash either the old or the new one is complete. Not thread-safe; {@link
 * ConfigurationSynchronizer} calls it while holding a lock.
 */
public final class ConfigurationFile {
    private static final Logger LOG = LoggerFactory.getLogger(ConfigurationFile.class);

    private static final String FILE_NAME = "configuration.json";

    private final Path file;
    private final Path temporaryFile;

    /**
     * Creates an instance without reading or writing the file.
     *
     * @param dataFolder folder that holds the file
     */
    public ConfigurationFile(Path dataFolder) {
        this.file = dataFolder.resolve(FILE_NAME);
        this.temporaryFile = dataFolder.resolve(FILE_NAME + ".tmp");
    }

    /**
     * Returns the stored configuration; empty if there is none, or if it is unreadable or invalid.
     */
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

    /** Stores {@code configuration}; returns whether it was written to disk. */
    public boolean save(Configuration configuration) {
        try {
            Files.createDirectories(file.toAbsolutePath().getParent());
            try (FileChannel channel =
                    FileChannel.open(
                            temporaryFile,
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
                    temporaryFile,
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
