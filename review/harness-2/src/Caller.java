import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** One caller's connection to a gateway. */
final class Caller implements AutoCloseable {
  static final String KEY = "k1";

  private final Harness harness;
  private final Socket socket;
  private final InputStream input;

  Caller(Harness harness, Harness.Gateway gateway, int receiveBytes) throws IOException {
    this.harness = harness;
    socket = gateway.connect(receiveBytes);
    input = new BufferedInputStream(socket.getInputStream(), 64 * 1024);
  }

  /** Sends a request with {@link #KEY}; {@code headers} are further header lines, each with its line end. */
  void send(String method, String target, String attempt, long waitMs, String headers, byte[] body) throws IOException {
    send(method, target, attempt, waitMs, KEY, headers, body);
  }

  void send(String method, String target, String attempt, long waitMs, String key, String headers, byte[] body)
      throws IOException {
    socket.setSoTimeout((int) waitMs);
    String head =
        method + " " + target + " HTTP/1.1\r\n"
            + "Host: app.example\r\n"
            + "Authorization: Token " + key + "\r\n"
            + "Chestnutloom-Attempt-Id: " + attempt + "\r\n"
            + "Chestnutloom-Deadline-Ms: " + waitMs + "\r\n"
            + headers
            + (method.equals("GET") ? "" : "Content-Length: " + body.length + "\r\n")
            + "\r\n";
    harness.record("sent " + attempt + " " + method + " " + target + " body=" + body.length);
    socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
    socket.getOutputStream().write(body);
  }

  /** Reads the answer to {@code attempt}, or returns null if the connection ends or stays silent before its head is whole. */
  Http.Message receive(String attempt) {
    Http.Message answer = null;
    try {
      answer = Http.readHead(input);
      if (answer != null) Http.readBody(input, answer, true);
    } catch (IOException e) {
      harness.record("end " + attempt + " " + e.getMessage());
    }
    if (answer == null) {
      harness.record("answer " + attempt + " none, the connection ended");
    } else {
      harness.record(
          "answer " + attempt + " " + answer.status() + " body=" + answer.body.length + " whole=" + answer.isComplete);
    }
    return answer;
  }

  /** Returns the headers of a turn of {@code program}; {@code previous} is the turn that it continues, or null. */
  static String turnHeaders(String program, int budgetTokens, int turnTokens, String previous) {
    return "Chestnutloom-Model: m\r\n"
        + "Chestnutloom-Program-Id: " + program + "\r\n"
        + "Chestnutloom-Session-Id: s-" + program + "\r\n"
        + "Chestnutloom-Program-Deadline-Ms: 60000\r\n"
        + "Chestnutloom-Token-Budget: " + budgetTokens + "\r\n"
        + "Chestnutloom-Token-Usage: 1840," + turnTokens + "\r\n"
        + (previous == null ? "" : "Chestnutloom-Previous-Turn: " + previous + "\r\n");
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
