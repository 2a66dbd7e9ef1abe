import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads JSON texts without escapes other than those that the nodes write. */
final class Json {
    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    static Object parse(String text) {
        return new Json(text).value();
    }

    private Object value() {
        skip();
        char c = text.charAt(at);
        if (c == '{') {
            Map<String, Object> map = new LinkedHashMap<>();
            at++;
            for (skip(); text.charAt(at) != '}'; skip()) {
                if (text.charAt(at) == ',') {
                    at++;
                    skip();
                }
                String key = string();
                skip();
                at++;
                map.put(key, value());
            }
            at++;
            return map;
        }
        if (c == '[') {
            List<Object> list = new ArrayList<>();
            at++;
            for (skip(); text.charAt(at) != ']'; skip()) {
                if (text.charAt(at) == ',') {
                    at++;
                }
                list.add(value());
            }
            at++;
            return list;
        }
        if (c == '"') {
            return string();
        }
        int start = at;
        while (at < text.length() && ",]} \r\n\t".indexOf(text.charAt(at)) < 0) {
            at++;
        }
        String word = text.substring(start, at);
        return switch (word) {
            case "true" -> Boolean.TRUE;
            case "false" -> Boolean.FALSE;
            case "null" -> null;
            default -> word.contains(".") ? (Object) Double.valueOf(word) : Long.valueOf(word);
        };
    }

    private String string() {
        StringBuilder result = new StringBuilder();
        at++;
        while (text.charAt(at) != '"') {
            if (text.charAt(at) == '\\') {
                at++;
            }
            result.append(text.charAt(at++));
        }
        at++;
        return result.toString();
    }

    private void skip() {
        while (at < text.length() && " \r\n\t".indexOf(text.charAt(at)) >= 0) {
            at++;
        }
    }
}
