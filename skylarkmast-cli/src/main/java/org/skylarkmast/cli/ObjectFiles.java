package org.skylarkmast.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.skylarkmast.core.config.DeclaredObject;
import org.skylarkmast.core.config.ObjectParser;
import org.skylarkmast.core.config.ParseOutcome;
import org.skylarkmast.core.config.Problem;

/** Reads objects from files. */
final class ObjectFiles {
    private ObjectFiles() {}

    /** The outcome of reading files. */
    sealed interface Outcome {

        /** All files contain well-formed objects only. */
        record Read(List<DeclaredObject> objects) implements Outcome {}

        /** At least one file contains malformed objects. */
        record Rejected(List<Problem> problems) implements Outcome {}

        /** A file cannot be read. */
        record Unreadable(String reason) implements Outcome {}
    }

    static Outcome read(List<String> files) {
        List<DeclaredObject> objects = new ArrayList<>();
        List<Problem> problems = new ArrayList<>();
        for (String file : files) {
            String text;
            try {
                text = Files.readString(Path.of(file));
            } catch (IOException e) {
                return new Outcome.Unreadable("cannot read " + file + ": " + e);
            }
            switch (ObjectParser.parse(file, text)) {
                case ParseOutcome.Parsed parsed -> objects.addAll(parsed.objects());
                case ParseOutcome.Rejected rejected -> problems.addAll(rejected.problems());
            }
        }
        return problems.isEmpty() ? new Outcome.Read(objects) : new Outcome.Rejected(problems);
    }
}
