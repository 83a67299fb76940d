package review;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A minimal JSON reader and writer for the stand-ins. */
final class Json {
    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    static Object parse(String text) {
        return new Json(text).value();
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(Object value) {
        return value == null ? Map.of() : (Map<String, Object>) value;
    }

    @SuppressWarnings("unchecked")
    static List<Object> list(Object value) {
        return value == null ? List.of() : (List<Object>) value;
    }

    static String quote(String value) {
        StringBuilder out = new StringBuilder("\"");
        for (char c : value.toCharArray()) {
            if (c == '"' || c == '\\') {
                out.append('\\').append(c);
            } else if (c < ' ') {
                out.append(String.format("\\u%04x", (int) c));
            } else {
                out.append(c);
            }
        }
        return out.append('"').toString();
    }

    private Object value() {
        skipSpace();
        char c = text.charAt(at);
        if (c == '{') return objectValue();
        if (c == '[') return listValue();
        if (c == '"') return string();
        int start = at;
        while (at < text.length() && "+-.0123456789eEaflnrstu".indexOf(text.charAt(at)) >= 0) at++;
        String token = text.substring(start, at);
        return switch (token) {
            case "true" -> true;
            case "false" -> false;
            case "null" -> null;
            default -> Double.valueOf(token);
        };
    }

    private Map<String, Object> objectValue() {
        Map<String, Object> fields = new LinkedHashMap<>();
        at++;
        skipSpace();
        while (text.charAt(at) != '}') {
            skipSpace();
            String name = string();
            skipSpace();
            at++;
            fields.put(name, value());
            skipSpace();
            if (text.charAt(at) == ',') at++;
            skipSpace();
        }
        at++;
        return fields;
    }

    private List<Object> listValue() {
        List<Object> items = new ArrayList<>();
        at++;
        skipSpace();
        while (text.charAt(at) != ']') {
            items.add(value());
            skipSpace();
            if (text.charAt(at) == ',') at++;
            skipSpace();
        }
        at++;
        return items;
    }

    private String string() {
        StringBuilder out = new StringBuilder();
        at++;
        while (text.charAt(at) != '"') {
            char c = text.charAt(at++);
            if (c != '\\') {
                out.append(c);
                continue;
            }
            char escaped = text.charAt(at++);
            switch (escaped) {
                case 'n' -> out.append('\n');
                case 'r' -> out.append('\r');
                case 't' -> out.append('\t');
                case 'b' -> out.append('\b');
                case 'f' -> out.append('\f');
                case 'u' -> {
                    out.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
                    at += 4;
                }
                default -> out.append(escaped);
            }
        }
        at++;
        return out.toString();
    }

    private void skipSpace() {
        while (at < text.length() && Character.isWhitespace(text.charAt(at))) at++;
    }
}
