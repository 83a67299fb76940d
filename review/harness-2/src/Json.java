import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads and writes the JSON bodies of the store: objects as maps, arrays as lists, numbers as doubles. */
final class Json {
  private final String text;
  private int at;

  private Json(String text) {
    this.text = text;
  }

  /** Returns the value of {@code text}. */
  static Object parse(String text) {
    return new Json(text).value();
  }

  /** Returns {@code text} as a JSON string. */
  static String quote(String text) {
    StringBuilder quoted = new StringBuilder("\"");
    for (char c : text.toCharArray()) {
      if (c == '"' || c == '\\') {
        quoted.append('\\').append(c);
      } else if (c < ' ') {
        quoted.append(String.format("\\u%04x", (int) c));
      } else {
        quoted.append(c);
      }
    }
    return quoted.append('"').toString();
  }

  private Object value() {
    skipSpace();
    char c = text.charAt(at);
    if (c == '{') return object();
    if (c == '[') return array();
    if (c == '"') return string();
    int start = at;
    while (at < text.length() && ",]} \n\t\r".indexOf(text.charAt(at)) < 0) at++;
    String word = text.substring(start, at);
    if (word.equals("true")) return true;
    if (word.equals("false")) return false;
    return word.equals("null") ? null : Double.valueOf(word);
  }

  private Map<String, Object> object() {
    Map<String, Object> fields = new LinkedHashMap<>();
    at++;
    while (true) {
      skipSpace();
      if (text.charAt(at) == '}') break;
      if (text.charAt(at) == ',') {
        at++;
        continue;
      }
      String name = string();
      skipSpace();
      at++;
      fields.put(name, value());
    }
    at++;
    return fields;
  }

  private List<Object> array() {
    List<Object> values = new ArrayList<>();
    at++;
    while (true) {
      skipSpace();
      if (text.charAt(at) == ']') break;
      if (text.charAt(at) == ',') {
        at++;
        continue;
      }
      values.add(value());
    }
    at++;
    return values;
  }

  private String string() {
    StringBuilder read = new StringBuilder();
    at++;
    while (text.charAt(at) != '"') {
      char c = text.charAt(at++);
      if (c != '\\') {
        read.append(c);
        continue;
      }
      char escaped = text.charAt(at++);
      switch (escaped) {
        case 'n' -> read.append('\n');
        case 't' -> read.append('\t');
        case 'r' -> read.append('\r');
        case 'b' -> read.append('\b');
        case 'f' -> read.append('\f');
        case 'u' -> {
          read.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
          at += 4;
        }
        default -> read.append(escaped);
      }
    }
    at++;
    return read.toString();
  }

  private void skipSpace() {
    while (at < text.length() && Character.isWhitespace(text.charAt(at))) at++;
  }
}
