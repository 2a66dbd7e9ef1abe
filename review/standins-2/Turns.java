import java.util.LinkedHashMap;
import java.util.Map;

/** The fields of turns. */
final class Turns {
    private Turns() {}

    /** Returns the fields of a turn; {@code previous} is empty at the start of a chain. */
    static Map<String, String> fields(String program, String session, long budget, int maxTokens, String previous) {
        Map<String, String> fields = new LinkedHashMap<>();
        fields.put("X-Model", "m");
        fields.put("X-Token-Usage", "1460," + maxTokens);
        fields.put("X-Prompt-Prefix", "5c1e07a2:800,91bd3f06:410,e4402b7d:250");
        fields.put("X-Program-Id", program);
        fields.put("X-Session-Id", session);
        fields.put("X-Program-Deadline-Ms", "60000");
        fields.put("X-Token-Budget", Long.toString(budget));
        if (!previous.isEmpty()) {
            fields.put("X-Previous-Turn", previous);
        }
        return fields;
    }
}
