package org.skylarkmast.bench;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import java.util.function.BooleanSupplier;

/** Parses the command lines of all programs of this module. */
public final class CommandLineUtil {
    private static final int USAGE_ERROR = 2;

    private CommandLineUtil() {}

    /**
     * Fills {@code options} from the command line; ends the process with status 2 if it is invalid.
     *
     * @param help whether the filled options ask for help, which is then printed
     * @return whether the program should continue
     */
    public static boolean parse(
            String program, Object options, BooleanSupplier help, String[] arguments) {
        JCommander commander =
                JCommander.newBuilder().programName(program).addObject(options).build();
        try {
            commander.parse(arguments);
        } catch (ParameterException e) {
            System.err.println("error: " + e.getMessage());
            System.exit(USAGE_ERROR);
        }
        if (help.getAsBoolean()) {
            commander.usage();
            return false;
        }
        return true;
    }
}
