import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Reads HTTP/1.1 messages from a socket. */
final class Http {
  private Http() {}

  /** The start line, headers and body of a message. */
  static final class Message {
    final String startLine;
    final List<String> headerLines = new ArrayList<>();
    byte[] body = new byte[0];

    /** Whether the body has come to the end that its framing announces. */
    boolean isComplete;

    Message(String startLine) {
      this.startLine = startLine;
    }

    /** Returns the value of the header {@code name}, or null without one. */
    String header(String name) {
      for (String line : headerLines) {
        int colon = line.indexOf(':');
        if (colon > 0 && line.substring(0, colon).trim().equalsIgnoreCase(name)) return line.substring(colon + 1).trim();
      }
      return null;
    }

    int status() {
      return Integer.parseInt(startLine.split(" ")[1]);
    }

    String method() {
      return startLine.split(" ")[0];
    }

    String target() {
      return startLine.split(" ")[1];
    }

    String text() {
      return new String(body, StandardCharsets.UTF_8);
    }
  }

  /** Reads the start line and the headers of a message, or returns null at the end of the connection. */
  static Message readHead(InputStream input) throws IOException {
    String line = readLine(input);
    while (line != null && line.isEmpty()) line = readLine(input);
    if (line == null) return null;
    Message message = new Message(line);
    while (true) {
      line = readLine(input);
      if (line == null) throw new EOFException("connection ended inside a head");
      if (line.isEmpty()) return message;
      message.headerLines.add(line);
    }
  }

  /** Reads a request with its body, or returns null at the end of the connection. */
  static Message readRequest(InputStream input) throws IOException {
    Message request = readHead(input);
    if (request != null) readBody(input, request, false);
    return request;
  }

  /** Reads the body of {@code message} as far as it comes; {@link Message#isComplete} tells whether that is all of it. */
  static void readBody(InputStream input, Message message, boolean endsWithConnection) throws IOException {
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    try {
      String length = message.header("Content-Length");
      if ("chunked".equalsIgnoreCase(message.header("Transfer-Encoding"))) {
        message.isComplete = readChunks(input, body);
      } else if (length != null) {
        message.isComplete = copy(input, body, Long.parseLong(length));
      } else {
        if (endsWithConnection) copy(input, body, Long.MAX_VALUE);
        message.isComplete = true;
      }
    } finally {
      message.body = body.toByteArray();
    }
  }

  private static boolean readChunks(InputStream input, ByteArrayOutputStream body) throws IOException {
    while (true) {
      String line = readLine(input);
      if (line == null) return false;
      int size = Integer.parseInt(line.split(";")[0].trim(), 16);
      if (size == 0) {
        while (line != null && !line.isEmpty()) line = readLine(input);
        return line != null;
      }
      if (!copy(input, body, size)) return false;
      if (readLine(input) == null) return false;
    }
  }

  private static boolean copy(InputStream input, ByteArrayOutputStream to, long bytes) throws IOException {
    byte[] buffer = new byte[16 * 1024];
    long left = bytes;
    while (left > 0) {
      int read = input.read(buffer, 0, (int) Math.min(left, buffer.length));
      if (read < 0) return false;
      to.write(buffer, 0, read);
      left -= read;
    }
    return true;
  }

  /** Returns the next line without its end, or null at the end of the connection. */
  private static String readLine(InputStream input) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    while (true) {
      int read = input.read();
      if (read < 0) return line.size() == 0 ? null : line.toString(StandardCharsets.ISO_8859_1);
      if (read == '\n') break;
      line.write(read);
    }
    String text = line.toString(StandardCharsets.ISO_8859_1);
    return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
  }
}
