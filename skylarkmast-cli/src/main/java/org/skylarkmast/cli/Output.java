package org.skylarkmast.cli;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import org.skylarkmast.core.config.Problem;
import org.skylarkmast.core.json.JsonUtil;
import tools.jackson.databind.JsonNode;

/** Prints results to standard output, and errors to standard error. */
final class Output {
    private final PrintStream out;
    private final PrintStream err;
    private final boolean json;

    /**
     * @param json whether results are printed as JSON instead of tables
     */
    Output(PrintStream out, PrintStream err, boolean json) {
        this.out = out;
        this.err = err;
        this.json = json;
    }

    boolean isJson() {
        return json;
    }

    void line(String text) {
        out.println(text);
    }

    void error(String text) {
        err.println("skylarkmast: " + text);
    }

    void json(JsonNode node) {
        out.println(JsonUtil.MAPPER.writerWithDefaultPrettyPrinter().writeValueAsString(node));
    }

    void problems(List<Problem> problems) {
        problems.forEach(problem -> error(problem.toString()));
    }

    /** Prints a table with a header line; each column is as wide as its widest cell. */
    void table(List<String> columns, List<? extends JsonNode> rows) {
        List<List<String>> lines = new ArrayList<>();
        lines.add(columns);
        for (JsonNode row : rows) {
            lines.add(columns.stream().map(column -> cell(row.path(column))).toList());
        }
        int[] widths = new int[columns.size()];
        for (List<String> line : lines) {
            for (int i = 0; i < widths.length; i++) {
                widths[i] = Math.max(widths[i], line.get(i).length());
            }
        }
        for (List<String> line : lines) {
            StringBuilder text = new StringBuilder();
            for (int i = 0; i < widths.length; i++) {
                text.append(line.get(i));
                if (i < widths.length - 1) {
                    text.repeat(' ', widths[i] - line.get(i).length() + 2);
                }
            }
            out.println(text);
        }
    }

    private static String cell(JsonNode value) {
        if (value.isMissingNode()) {
            return "-";
        }
        return value.isValueNode() ? value.asString() : value.toString();
    }
}
