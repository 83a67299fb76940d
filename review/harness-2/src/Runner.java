import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A stand-in for a runner. It registers in the store, and answers each request as its {@link Work} says. */
final class Runner {
  /** What a runner does with a request that it runs. */
  interface Work {
    void run(Http.Message request, OutputStream output, Socket socket) throws IOException, InterruptedException;
  }

  private final Harness harness;
  private final String id;
  private final String service;
  private final Work work;
  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
  private final long bornMs = System.currentTimeMillis();
  private final ServerSocket listener;

  /** Starts a runner at {@code host} and {@code port}; port 0 takes a free one. */
  Runner(Harness harness, String id, String service, String host, int port, Work work) throws IOException {
    this.harness = harness;
    this.id = id;
    this.service = service;
    this.work = work;
    listener = new ServerSocket();
    listener.setReuseAddress(true);
    listener.bind(new InetSocketAddress(InetAddress.getByName(host), port), 256);
    Store.daemon(this::accept);
  }

  int port() {
    return listener.getLocalPort();
  }

  InetSocketAddress address() {
    return (InetSocketAddress) listener.getLocalSocketAddress();
  }

  /** Writes the runner's entry to the store. */
  void register(int slots) {
    register(slots, listener.getInetAddress().getHostAddress() + ":" + port());
  }

  /** Writes the runner's entry, which names {@code address}, to the store. */
  void register(int slots, String address) {
    harness.store.put(
        "servers",
        id,
        "{\"service\":\"" + service + "\",\"address\":\"" + address + "\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":"
            + slots + ",\"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":1,\"born\":" + bornMs + "}");
  }

  /** Ends the runner as a kill does: its port no longer listens, and its connections are closed in order. */
  void kill() throws IOException {
    listener.close();
    for (Socket socket : sockets) socket.close();
  }

  private void accept() {
    while (true) {
      try {
        Socket socket = listener.accept();
        socket.setTcpNoDelay(true);
        sockets.add(socket);
        Store.daemon(() -> serve(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      BufferedInputStream input = new BufferedInputStream(socket.getInputStream());
      OutputStream output = socket.getOutputStream();
      while (true) {
        Http.Message request = Http.readRequest(input);
        if (request == null) return;
        String attempt = request.header("Chestnutloom-Attempt-Id");
        String expected = request.header("Chestnutloom-Expect-Instance");
        if (expected != null && !expected.equals(id)) {
          output.write(head(421, attempt, "Chestnutloom-Instance-Id: " + id + "\r\nContent-Length: 0\r\n"));
          output.flush();
          continue;
        }
        harness.record("run " + id + " " + attempt + " " + request.startLine + " body=" + request.body.length);
        harness.runs.add(new Harness.Run(harness.elapsedMs(), id, attempt, request));
        work.run(request, output, socket);
        output.flush();
      }
    } catch (IOException | InterruptedException e) {
      // The gateway has left.
    } finally {
      sockets.remove(socket);
    }
  }

  /** Returns the head of an answer to {@code attempt}, with the further header lines {@code lines}. */
  static byte[] head(int status, String attempt, String lines) {
    String signature = status == 421 ? "" : "Chestnutloom-Server-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\n";
    String text =
        "HTTP/1.1 " + status + " X\r\n"
            + (attempt == null ? "" : "Chestnutloom-Attempt-Id: " + attempt + "\r\n")
            + signature + lines + "\r\n";
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }

  /** Answers every request with a stream of {@code events} events, one each {@code gapMs}. */
  static Work stream(int events, long gapMs) {
    return (request, output, socket) -> {
      output.write(
          head(
              200,
              request.header("Chestnutloom-Attempt-Id"),
              "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"));
      for (int i = 0; i < events; i++) {
        String event = "id: " + i + "\ndata: piece " + i + "\n\n";
        output.write((Integer.toHexString(event.length()) + "\r\n" + event + "\r\n").getBytes(StandardCharsets.US_ASCII));
        output.flush();
        Thread.sleep(gapMs);
      }
      output.write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
    };
  }

  /** Answers every request after {@code workMs} with {@code bodyBytes} bytes. */
  static Work plain(long workMs, int bodyBytes) {
    return (request, output, socket) -> {
      Thread.sleep(workMs);
      output.write(head(200, request.header("Chestnutloom-Attempt-Id"), "Content-Length: " + bodyBytes + "\r\n"));
      output.write(new byte[bodyBytes]);
    };
  }
}
