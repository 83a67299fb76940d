package review3;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/** Reads HTTP/1.1 messages from sockets. */
final class Http {
  private Http() {}

  /** The head of a message: its first line and its headers, whose names are compared without case. */
  record Head(String line, Map<String, String> headers) {
    String header(String name) {
      return headers.get(name);
    }

    long length() {
      String value = header("Content-Length");
      return value == null ? -1 : Long.parseLong(value.trim());
    }

    boolean isChunked() {
      return "chunked".equalsIgnoreCase(headers.getOrDefault("Transfer-Encoding", ""));
    }
  }

  /** Returns the next head, or null if the connection ended before it began. */
  static Head readHead(InputStream in) throws IOException {
    String line = readLine(in);
    if (line == null) return null;
    Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
    while (true) {
      String header = readLine(in);
      if (header == null) throw new EOFException("connection ended inside a head");
      if (header.isEmpty()) return new Head(line, headers);
      int colon = header.indexOf(':');
      headers.put(header.substring(0, colon).trim(), header.substring(colon + 1).trim());
    }
  }

  static String readLine(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    while (true) {
      int next = in.read();
      if (next < 0) {
        if (line.size() == 0) return null;
        throw new EOFException("connection ended inside a line");
      }
      if (next == '\n') break;
      if (next != '\r') line.write(next);
    }
    return line.toString(StandardCharsets.ISO_8859_1);
  }

  static byte[] readExactly(InputStream in, long length) throws IOException {
    byte[] bytes = in.readNBytes((int) length);
    if (bytes.length < length) throw new EOFException("connection ended inside a body");
    return bytes;
  }

  /** Reads the body of a request. */
  static byte[] readBody(InputStream in, Head head) throws IOException {
    if (head.isChunked()) return readChunks(in, new ByteArrayOutputStream());
    return head.length() > 0 ? readExactly(in, head.length()) : new byte[0];
  }

  /** Reads chunks into [body], which has what arrived also when this fails. */
  static byte[] readChunks(InputStream in, ByteArrayOutputStream body) throws IOException {
    while (true) {
      String size = readLine(in);
      if (size == null) throw new EOFException("connection ended between chunks");
      int length = Integer.parseInt(size.split(";")[0].trim(), 16);
      if (length == 0) {
        readLine(in);
        return body.toByteArray();
      }
      body.write(readExactly(in, length));
      readLine(in);
    }
  }

  static InputStream buffered(InputStream in) {
    return new BufferedInputStream(in, 16_384);
  }
}
