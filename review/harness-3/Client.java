package review3;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** A client that sends one request on each connection, as it sends each of its retries. */
final class Client {
  /** What the client got: status 0 without an answer, [isWhole] if the answer came to its end. */
  record Answer(int status, Http.Head head, String body, boolean isWhole, String failure) {
    /** Whether the answer is a success that a client accepts. */
    boolean isSuccess() {
      return status / 100 == 2 && isWhole && head.header("Chestnutloom-Server-Signature") != null;
    }

    @Override
    public String toString() {
      String retry = head == null ? null : head.header("Retry-After");
      return status + (isWhole ? "" : " (not whole" + (failure == null ? "" : ": " + failure) + ")")
          + (retry == null ? "" : " Retry-After " + retry);
    }
  }

  private Client() {}

  static Answer send(InetAddress address, int port, String method, String path, Map<String, String> headers, byte[] body, int timeoutMs) {
    int status = 0;
    Http.Head head = null;
    ByteArrayOutputStream received = new ByteArrayOutputStream();
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress(address, port), 1_000);
      socket.setTcpNoDelay(true);
      socket.setSoTimeout(timeoutMs);
      write(socket.getOutputStream(), method, path, headers, body);
      InputStream in = Http.buffered(socket.getInputStream());
      head = Http.readHead(in);
      if (head == null) return new Answer(0, null, "", false, "closed");
      status = Integer.parseInt(head.line().split(" ")[1]);
      if (head.isChunked()) Http.readChunks(in, received);
      else if (head.length() >= 0) received.write(Http.readExactly(in, head.length()));
      else received.write(in.readAllBytes());
      return new Answer(status, head, received.toString(StandardCharsets.ISO_8859_1), true, null);
    } catch (IOException e) {
      return new Answer(status, head, received.toString(StandardCharsets.ISO_8859_1), false, e.getMessage());
    }
  }

  static void write(OutputStream out, String method, String path, Map<String, String> headers, byte[] body) throws IOException {
    StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
    headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
    if (body.length > 0 || method.equals("POST")) head.append("Content-Length: ").append(body.length).append("\r\n");
    head.append("\r\n");
    ByteArrayOutputStream whole = new ByteArrayOutputStream();
    whole.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
    whole.write(body);
    out.write(whole.toByteArray());
    out.flush();
  }
}
