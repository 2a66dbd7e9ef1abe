package org.skylarkmast.packaging;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URISyntaxException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

class CallSiteExpanderTest {
    private static final String SAMPLES = "org/skylarkmast/packaging/CallSiteSamples";
    private static final Map<String, byte[]> COMPILED = compiledSamples();
    private static final Map<String, byte[]> EXPANDED = new CallSiteExpander(COMPILED).expand();

    /**
     * Loads classes from memory; with their verification, as other loaders than the boot loader.
     */
    private static final class MemoryLoader extends ClassLoader {
        private final Map<String, byte[]> classes;

        MemoryLoader(Map<String, byte[]> classes) {
            super(ClassLoader.getPlatformClassLoader());
            this.classes = classes;
        }

        @Override
        protected Class<?> findClass(String name) throws ClassNotFoundException {
            byte[] bytes = classes.get(name.replace('.', '/'));
            if (bytes == null) {
                throw new ClassNotFoundException(name);
            }
            return defineClass(name, bytes, 0, bytes.length);
        }
    }

    private static Map<String, byte[]> compiledSamples() {
        try {
            Path folder =
                    Path.of(
                            CallSiteSamples.class
                                    .getProtectionDomain()
                                    .getCodeSource()
                                    .getLocation()
                                    .toURI());
            Map<String, byte[]> classes = new HashMap<>();
            try (Stream<Path> files = Files.walk(folder)) {
                for (Path file : files.toList()) {
                    String name = folder.relativize(file).toString();
                    if (name.startsWith(SAMPLES) && name.endsWith(".class")) {
                        classes.put(name.replace(".class", ""), Files.readAllBytes(file));
                    }
                }
            }
            return classes;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (URISyntaxException e) {
            throw new IllegalStateException("folder of the test's classes is not a path", e);
        }
    }

    private static Map<String, Supplier<Object>> expandedSamples()
            throws ReflectiveOperationException {
        Class<?> samples = new MemoryLoader(EXPANDED).loadClass(CallSiteSamples.class.getName());
        @SuppressWarnings("unchecked") // the method's own result type
        Map<String, Supplier<Object>> results =
                (Map<String, Supplier<Object>>) samples.getMethod("samples").invoke(null);
        return results;
    }

    static List<String> names() {
        return CallSiteSamples.samples().keySet().stream().sorted().toList();
    }

    @ParameterizedTest
    @MethodSource("names")
    void expandedCodeDoesTheSame(String name) throws ReflectiveOperationException {
        assertThat(expandedSamples().get(name).get())
                .isEqualTo(CallSiteSamples.samples().get(name).get());
    }

    @Test
    void nothingIsLeftToExpand() {
        assertThat(EXPANDED.size()).isGreaterThan(COMPILED.size() + names().size());
        assertThat(new CallSiteExpander(EXPANDED).expand().keySet()).isEqualTo(EXPANDED.keySet());
    }

    /** A class that refers to a library that is not there stays as it is. */
    @Test
    void classThatCannotBeResolvedStaysAsItIs() {
        Map<String, byte[]> incomplete = new HashMap<>(COMPILED);
        incomplete.keySet().removeIf(name -> name.contains("Circle") || name.contains("Square"));
        CallSiteExpander expander = new CallSiteExpander(incomplete);
        Map<String, byte[]> expanded = expander.expand();
        for (String skipped : expander.skipped().keySet()) {
            assertThat(expanded.get(skipped)).isEqualTo(incomplete.get(skipped));
        }
    }
}
