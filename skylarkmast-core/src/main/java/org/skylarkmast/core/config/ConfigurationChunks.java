package org.skylarkmast.core.config;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HexFormat;
import java.util.List;
import java.util.TreeMap;
import java.util.zip.CRC32C;

/**
 * Splits a configuration into chunks that are identified by their digest, and assembles it again.
 */
public final class ConfigurationChunks {

    /** Maximum number of chunks of a configuration; a change of one object rewrites one chunk. */
    public static final int MAX_CHUNKS = 16;

    /** Maximum size of a chunk, below the largest value that the key-value service accepts. */
    public static final int MAX_CHUNK_BYTES = 900_000;

    private ConfigurationChunks() {}

    /**
     * A part of a configuration.
     *
     * @param digest lower-case hex SHA-256 of {@code bytes}
     * @param bytes JSON list of objects, ordered by kind and name
     */
    @SuppressWarnings("ArrayRecordComponent") // equal digests mean equal bytes
    public record Chunk(String digest, byte[] bytes) {}

    /** Distributes the objects over chunks by a hash of kind and name; empty chunks are omitted. */
    public static List<Chunk> split(Configuration configuration) {
        TreeMap<Integer, List<ConfigurationObject>> objectsByChunk = new TreeMap<>();
        for (ConfigurationObject object : configuration.objects()) {
            objectsByChunk
                    .computeIfAbsent(chunkIndex(object.objectName()), key -> new ArrayList<>())
                    .add(object);
        }
        List<Chunk> chunks = new ArrayList<>();
        for (List<ConfigurationObject> objects : objectsByChunk.values()) {
            byte[] bytes = ObjectWriter.toJson(objects).toString().getBytes(StandardCharsets.UTF_8);
            chunks.add(new Chunk(sha256(bytes), bytes));
        }
        return chunks;
    }

    /** Returns a problem for each chunk that is too large for the key-value service. */
    public static List<Problem> findOversized(List<Chunk> chunks) {
        return chunks.stream()
                .filter(chunk -> chunk.bytes().length > MAX_CHUNK_BYTES)
                .map(
                        chunk ->
                                Problem.ofSource(
                                        "whole set",
                                        "expected at most "
                                                + MAX_CHUNK_BYTES
                                                + " bytes in each of "
                                                + MAX_CHUNKS
                                                + " parts, found "
                                                + chunk.bytes().length))
                .toList();
    }

    /** Assembles and validates the configuration that the chunks contain. */
    public static ValidationOutcome assemble(long revision, Collection<Chunk> chunks) {
        List<DeclaredObject> objects = new ArrayList<>();
        List<Problem> problems = new ArrayList<>();
        for (Chunk chunk : chunks) {
            String source = "chunk " + chunk.digest();
            if (!sha256(chunk.bytes()).equals(chunk.digest())) {
                problems.add(Problem.ofSource(source, "expected bytes of this digest"));
                continue;
            }
            String text = new String(chunk.bytes(), StandardCharsets.UTF_8);
            switch (ObjectParser.parse(source, text)) {
                case ParseOutcome.Parsed parsed -> objects.addAll(parsed.objects());
                case ParseOutcome.Rejected rejected -> problems.addAll(rejected.problems());
            }
        }
        return problems.isEmpty()
                ? ConfigurationValidator.validate(revision, objects)
                : new ValidationOutcome.Invalid(problems);
    }

    /** Returns the SHA-256 digest of {@code bytes} in lower-case hex. */
    public static String sha256(byte[] bytes) {
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is not available in this Java runtime", e);
        }
    }

    private static int chunkIndex(ObjectName name) {
        CRC32C crc = new CRC32C();
        crc.update(name.toString().getBytes(StandardCharsets.UTF_8));
        return (int) (crc.getValue() % MAX_CHUNKS);
    }
}
