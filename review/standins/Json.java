import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Parses and quotes the JSON that the stand-ins exchange with the nodes. */
final class Json {
    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    static Object parse(String text) {
        return new Json(text).value();
    }

    static String quote(String text) {
        return "\"" + text.replace("\\", "\\\\").replace("\"", "\\\"") + "\"";
    }

    static Object get(Object object, String name) {
        return ((Map<?, ?>) object).get(name);
    }

    @SuppressWarnings("unchecked")
    static List<Object> list(Object value) {
        return value == null ? List.of() : (List<Object>) value;
    }

    private Object value() {
        char c = next();
        if (c == '{') {
            Map<String, Object> members = new HashMap<>();
            for (char d = next(); d != '}'; d = next()) {
                if (d == ',') {
                    d = next();
                }
                String name = string();
                next();
                members.put(name, value());
            }
            return members;
        }
        if (c == '[') {
            List<Object> items = new ArrayList<>();
            while (true) {
                char d = next();
                if (d == ']') {
                    return items;
                }
                if (d != ',') {
                    at--;
                }
                items.add(value());
            }
        }
        if (c == '"') {
            return string();
        }
        int start = at - 1;
        while (at < text.length() && ",]} \t\r\n".indexOf(text.charAt(at)) < 0) {
            at++;
        }
        String word = text.substring(start, at);
        return switch (word) {
            case "true" -> true;
            case "false" -> false;
            case "null" -> null;
            default -> word.contains(".") ? (Object) Double.valueOf(word) : Long.valueOf(word);
        };
    }

    /** Returns the next character that is no white space. */
    private char next() {
        while (Character.isWhitespace(text.charAt(at))) {
            at++;
        }
        return text.charAt(at++);
    }

    /** Returns the string whose opening quote has been read. */
    private String string() {
        StringBuilder string = new StringBuilder();
        for (char c = text.charAt(at++); c != '"'; c = text.charAt(at++)) {
            string.append(c == '\\' ? text.charAt(at++) : c);
        }
        return string.toString();
    }
}
