package org.skylarkmast.packaging;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/** Applies {@link CallSiteExpander} to the classes below a folder. */
public final class CallSiteExpansionMain {
    private static final String SUFFIX = ".class";
    private static final String MODULE = "module-info.class";
    private static final int USAGE_STATUS = 2;

    private CallSiteExpansionMain() {}

    /**
     * Rewrites the classes in place.
     *
     * @param arguments the folder
     */
    public static void main(String[] arguments) throws IOException {
        if (arguments.length != 1 || !Files.isDirectory(Path.of(arguments[0]))) {
            System.err.println("error: expected one folder of classes");
            System.exit(USAGE_STATUS);
        }
        Path folder = Path.of(arguments[0]);
        Map<String, byte[]> classes = read(folder);
        CallSiteExpander expander = new CallSiteExpander(classes);
        Map<String, byte[]> expanded = expander.expand();
        for (Map.Entry<String, byte[]> entry : expanded.entrySet()) {
            if (entry.getValue() != classes.get(entry.getKey())) {
                Files.write(folder.resolve(entry.getKey() + SUFFIX), entry.getValue());
            }
        }
        expander.skipped()
                .forEach(
                        (name, reason) ->
                                System.out.println("left as it is: " + name + ", " + reason));
        System.out.println(
                (expanded.size() - classes.size()) + " classes added in place of call sites");
    }

    private static Map<String, byte[]> read(Path folder) throws IOException {
        List<Path> files;
        try (Stream<Path> all = Files.walk(folder)) {
            files = all.filter(CallSiteExpansionMain::isClass).toList();
        }
        Map<String, byte[]> classes = new HashMap<>();
        for (Path file : files) {
            String name = folder.relativize(file).toString().replace('\\', '/');
            classes.put(
                    name.substring(0, name.length() - SUFFIX.length()), Files.readAllBytes(file));
        }
        return classes;
    }

    private static boolean isClass(Path file) {
        String name = file.getFileName().toString();
        return name.endsWith(SUFFIX) && !name.equals(MODULE);
    }
}
