package org.skylarkmast.daemon.configuration;

import java.util.List;
import java.util.OptionalLong;
import java.util.stream.IntStream;
import org.skylarkmast.core.config.ChangeSet;
import org.skylarkmast.core.config.Configuration;
import org.skylarkmast.core.config.DeclaredObject;
import org.skylarkmast.core.config.Priority;
import org.skylarkmast.core.config.Workspace;

/** Creates changes and configurations for tests. */
final class ChangeFixtures {
    private ChangeFixtures() {}

    static DeclaredObject priority(String name, int level) {
        return new DeclaredObject("test", 0, new Priority(name, level, 1_000));
    }

    static ConfigurationPublisher.Request put(String name, int level) {
        return request(OptionalLong.empty(), name + "-" + level, priority(name, level));
    }

    static ConfigurationPublisher.Request putOn(long base, String name, int level) {
        return request(OptionalLong.of(base), name + "-" + level, priority(name, level));
    }

    static ConfigurationPublisher.Request request(
            OptionalLong base, String writeId, DeclaredObject... apply) {
        return new ConfigurationPublisher.Request(
                base, new ChangeSet(List.of(apply), List.of()), false, writeId);
    }

    /**
     * Creates workspaces with about {@code kilobytes} of key digests each; all digests are
     * different.
     */
    static DeclaredObject[] largeWorkspaces(int count, int kilobytes) {
        return IntStream.range(0, count)
                .mapToObj(i -> new Workspace("bulk-" + i, digests(i, kilobytes), 1, 1, 1, 0))
                .map(workspace -> new DeclaredObject("test", 0, workspace))
                .toArray(DeclaredObject[]::new);
    }

    private static List<String> digests(int workspace, int kilobytes) {
        return IntStream.range(0, kilobytes * 1_000 / 67)
                .mapToObj(i -> String.format("%032x%032x", workspace, i))
                .toList();
    }

    static Configuration configuration(long revision, int level) {
        return Configuration.of(revision, List.of(new Priority("p", level, 1_000)));
    }
}
