package review3;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Semaphore;

/** A runner of one service: it registers itself, beats, runs what names it, and answers with its signature. */
final class Runner implements AutoCloseable {
  /** One request that was run. */
  record Run(String attempt, String method, String path, Http.Head head, byte[] body, long atMs) {}

  /** How a request that is run is answered. */
  interface Answer {
    void write(Run run, OutputStream out) throws IOException;
  }

  private static final int BEAT_MS = 1_200;

  final String id;
  final List<Run> runs = new CopyOnWriteArrayList<>();
  final String service;
  private final String zone;
  private final int slots;
  private final Store store;
  private final Recorder recorder;
  private final Answer answer;
  private final ServerSocket server;
  private final Semaphore free;
  private final long bornMs = System.currentTimeMillis();
  private long sequence = 0;
  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
  private volatile boolean isClosed = false;
  private volatile String state = "ready";

  Runner(String id, String service, String zone, int slots, InetAddress address, Store store, Recorder recorder, Answer answer)
      throws IOException {
    this.id = id;
    this.service = service;
    this.zone = zone;
    this.slots = slots;
    this.store = store;
    this.recorder = recorder;
    this.answer = answer;
    free = new Semaphore(slots);
    server = new ServerSocket();
    server.setReuseAddress(true);
    server.bind(new InetSocketAddress(address, 0), 256);
    Threads.start("runner", this::accept);
    Threads.start("beats", this::beat);
  }

  private String address() {
    return server.getInetAddress().getHostAddress() + ":" + server.getLocalPort();
  }

  private void beat() {
    while (!isClosed) {
      register();
      Threads.sleep(BEAT_MS);
    }
  }

  private synchronized void register() {
    if (isClosed) return;
    store.put(
        "servers",
        id,
        "{\"service\":\"" + service + "\",\"address\":\"" + address() + "\",\"zone\":\"" + zone
            + "\",\"version\":\"v1\",\"slots\":" + slots + ",\"state\":\"" + state + "\",\"coldRemainingMs\":0,"
            + "\"sequence\":" + ++sequence + ",\"born\":" + bornMs + "}");
  }

  private void accept() throws IOException {
    while (!isClosed) {
      Socket socket = server.accept();
      Threads.start("runner-connection", () -> serve(socket));
    }
  }

  private void serve(Socket socket) throws IOException {
    sockets.add(socket);
    try (socket) {
      socket.setTcpNoDelay(true);
      InputStream in = Http.buffered(socket.getInputStream());
      OutputStream out = socket.getOutputStream();
      while (true) {
        Http.Head head = Http.readHead(in);
        if (head == null) return;
        byte[] body = Http.readBody(in, head);
        handle(head, body, out);
      }
    } finally {
      sockets.remove(socket);
    }
  }

  /** Crashes: the port is closed and all connections are reset; the platform drops the entry after three beats. */
  void crash() throws IOException {
    synchronized (this) {
      isClosed = true;
      server.close();
    }
    recorder.write("runner " + id + ": crashes");
    for (Socket socket : sockets) {
      socket.setSoLinger(true, 0);
      socket.close();
    }
    Threads.start(
        "expiry",
        () -> {
          Threads.sleep(3 * BEAT_MS);
          store.put("servers", id, null);
        });
  }

  private void handle(Http.Head head, byte[] body, OutputStream out) throws IOException {
    String[] words = head.line().split(" ");
    if (words[1].equals("/health")) {
      write(out, "HTTP/1.1 200 OK\r\nChestnutloom-Instance-Id: " + id + "\r\nContent-Length: 0\r\n\r\n");
      return;
    }
    String attempt = head.header("Chestnutloom-Attempt-Id");
    String expected = head.header("Chestnutloom-Expect-Instance");
    if (expected != null && !expected.equals(id)) {
      write(out, "HTTP/1.1 421 X\r\nChestnutloom-Attempt-Id: " + attempt + "\r\nContent-Length: 0\r\n\r\n");
      return;
    }
    free.acquireUninterruptibly();
    try {
      Run run = new Run(attempt, words[0], words[1], head, body, recorder.nowMs());
      runs.add(run);
      recorder.write("runner " + id + ": runs " + attempt + " " + words[0] + " " + words[1] + ", body of " + body.length);
      answer.write(run, out);
    } finally {
      free.release();
    }
  }

  static void write(OutputStream out, String text) throws IOException {
    out.write(text.getBytes(StandardCharsets.ISO_8859_1));
    out.flush();
  }

  /** Writes a whole answer with [body]. */
  static void respond(Run run, OutputStream out, byte[] body) throws IOException {
    write(
        out,
        "HTTP/1.1 200 OK\r\nChestnutloom-Attempt-Id: " + run.attempt + "\r\nChestnutloom-Server-Signature: s." + run.attempt
            + "\r\nContent-Type: text/plain\r\nContent-Length: " + body.length + "\r\n\r\n");
    out.write(body);
    out.flush();
  }

  /** Streams the events [first] to [last], one each [gapMs]. */
  static void stream(Run run, OutputStream out, int first, int last, int gapMs) throws IOException {
    write(
        out,
        "HTTP/1.1 200 OK\r\nChestnutloom-Attempt-Id: " + run.attempt + "\r\nChestnutloom-Server-Signature: s." + run.attempt
            + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (int event = first; event <= last; event++) {
      Threads.sleep(gapMs);
      String text = "id: " + event + "\ndata: " + dataOf(run, event) + "\n\n";
      write(out, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
    }
    write(out, "0\r\n\r\n");
  }

  /** Returns the data of one event of [run]; a run that goes on makes the same events. */
  static String dataOf(Run run, int event) {
    return "event-" + event + "-of-" + Integer.toHexString(java.util.Arrays.hashCode(run.body));
  }

  @Override
  public synchronized void close() throws IOException {
    isClosed = true;
    server.close();
  }
}
