package review3;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small JSON parser and writer for the stand-ins; objects are maps, arrays are lists. */
final class Json {
  private final String text;
  private int at;

  private Json(String text) {
    this.text = text;
  }

  static Object parse(String text) {
    Json json = new Json(text);
    return json.value();
  }

  @SuppressWarnings("unchecked")
  static Map<String, Object> object(String text) {
    return (Map<String, Object>) parse(text);
  }

  private void space() {
    while (at < text.length() && Character.isWhitespace(text.charAt(at))) at++;
  }

  private Object value() {
    space();
    char c = text.charAt(at);
    if (c == '{') return object();
    if (c == '[') return array();
    if (c == '"') return string();
    int start = at;
    while (at < text.length() && ",]} \n\r\t".indexOf(text.charAt(at)) < 0) at++;
    String word = text.substring(start, at);
    if (word.equals("true")) return true;
    if (word.equals("false")) return false;
    if (word.equals("null")) return null;
    if (word.matches("-?\\d+")) return Long.parseLong(word);
    return Double.parseDouble(word);
  }

  private Map<String, Object> object() {
    Map<String, Object> fields = new LinkedHashMap<>();
    at++;
    space();
    while (text.charAt(at) != '}') {
      space();
      String name = string();
      space();
      at++;
      fields.put(name, value());
      space();
      if (text.charAt(at) == ',') at++;
      space();
    }
    at++;
    return fields;
  }

  private List<Object> array() {
    List<Object> items = new ArrayList<>();
    at++;
    space();
    while (text.charAt(at) != ']') {
      items.add(value());
      space();
      if (text.charAt(at) == ',') at++;
      space();
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

  static String write(Object value) {
    if (value instanceof Map<?, ?> map) {
      StringBuilder out = new StringBuilder("{");
      for (Map.Entry<?, ?> entry : map.entrySet()) {
        if (out.length() > 1) out.append(',');
        out.append(write(entry.getKey().toString())).append(':').append(write(entry.getValue()));
      }
      return out.append('}').toString();
    }
    if (value instanceof List<?> list) {
      StringBuilder out = new StringBuilder("[");
      for (Object item : list) {
        if (out.length() > 1) out.append(',');
        out.append(write(item));
      }
      return out.append(']').toString();
    }
    if (value instanceof String string) {
      StringBuilder out = new StringBuilder("\"");
      for (char c : string.toCharArray()) {
        if (c == '"' || c == '\\') out.append('\\').append(c);
        else if (c < ' ') out.append(String.format("\\u%04x", (int) c));
        else out.append(c);
      }
      return out.append('"').toString();
    }
    return String.valueOf(value);
  }
}
