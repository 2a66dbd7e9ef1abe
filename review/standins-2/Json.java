import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads JSON into maps, lists, strings, doubles and booleans. */
final class Json {
    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(String text) {
        return (Map<String, Object>) new Json(text).value();
    }

    static String quoted(String text) {
        return "\"" + text.replace("\\", "\\\\").replace("\"", "\\\"") + "\"";
    }

    private Object value() {
        char c = next();
        switch (c) {
            case '{' -> {
                Map<String, Object> members = new LinkedHashMap<>();
                while (peek() != '}') {
                    String name = (String) value();
                    expect(':');
                    members.put(name, value());
                    if (peek() == ',') {
                        next();
                    }
                }
                next();
                return members;
            }
            case '[' -> {
                List<Object> items = new ArrayList<>();
                while (peek() != ']') {
                    items.add(value());
                    if (peek() == ',') {
                        next();
                    }
                }
                next();
                return items;
            }
            case '"' -> {
                StringBuilder string = new StringBuilder();
                for (char s = text.charAt(at++); s != '"'; s = text.charAt(at++)) {
                    if (s != '\\') {
                        string.append(s);
                        continue;
                    }
                    char escaped = text.charAt(at++);
                    switch (escaped) {
                        case 'n' -> string.append('\n');
                        case 't' -> string.append('\t');
                        case 'r' -> string.append('\r');
                        case 'u' -> {
                            string.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
                            at += 4;
                        }
                        default -> string.append(escaped);
                    }
                }
                return string.toString();
            }
            default -> {
                int start = at - 1;
                while (at < text.length() && "+-.eE0123456789aflnrstu".indexOf(text.charAt(at)) >= 0) {
                    at++;
                }
                String word = text.substring(start, at);
                return switch (word) {
                    case "true" -> Boolean.TRUE;
                    case "false" -> Boolean.FALSE;
                    case "null" -> null;
                    default -> Double.valueOf(word);
                };
            }
        }
    }

    private char peek() {
        while (Character.isWhitespace(text.charAt(at))) {
            at++;
        }
        return text.charAt(at);
    }

    private char next() {
        char c = peek();
        at++;
        return c;
    }

    private void expect(char expected) {
        if (next() != expected) {
            throw new IllegalArgumentException("expected " + expected + " at " + at);
        }
    }
}
