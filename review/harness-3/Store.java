package review3;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;

/**
 * The platform's store with its tables. Each call takes effect at one moment, drawn at random, of the time that its answer
 * takes, so that all responses are linearizable.
 */
final class Store implements AutoCloseable {
  /** One row; a removed one has no value. */
  record Row(String table, String part, String key, String value, long version) {
    String id() {
      return table + "\n" + part + "\n" + key;
    }

    Map<String, Object> fields() {
      Map<String, Object> fields = new LinkedHashMap<>();
      fields.put("table", table);
      fields.put("part", part);
      fields.put("key", key);
      fields.put("ver", version);
      if (value == null) fields.put("tombstone", true);
      else fields.put("value", value);
      return fields;
    }
  }

  private static final int MAX_PAGE_ROWS = 500;
  private static final int MAX_PAGE_BYTES = 1_000_000;

  /** The way of one machine to the store; while it is cut, nothing is delivered in either direction. */
  static final class Way implements AutoCloseable {
    private final ServerSocket server;
    volatile boolean isCut = false;

    private Way(ServerSocket server) {
      this.server = server;
    }

    String address() {
      return server.getInetAddress().getHostAddress() + ":" + server.getLocalPort();
    }

    @Override
    public void close() throws IOException {
      server.close();
    }
  }

  private final InetAddress address;
  private final List<Way> ways = new ArrayList<>();
  private final Map<String, Row> rows = new HashMap<>();
  private final Recorder recorder;
  private long version = 0;
  private volatile boolean isClosed = false;

  /** How long an answer takes. */
  volatile int latencyMs = 4;

  Store(InetAddress address, Recorder recorder) {
    this.address = address;
    this.recorder = recorder;
  }

  /** Opens the way of one machine. */
  Way open() throws IOException {
    ServerSocket server = new ServerSocket();
    server.setReuseAddress(true);
    server.bind(new InetSocketAddress(address, 0), 512);
    Way way = new Way(server);
    ways.add(way);
    Threads.start("store", () -> accept(way));
    return way;
  }

  private void accept(Way way) throws IOException {
    while (!isClosed) {
      Socket socket = way.server.accept();
      Threads.start("store-connection", () -> serve(way, socket));
    }
  }

  private void serve(Way way, Socket socket) throws IOException {
    try (socket) {
      socket.setTcpNoDelay(true);
      InputStream in = Http.buffered(socket.getInputStream());
      OutputStream out = socket.getOutputStream();
      while (true) {
        Http.Head head = Http.readHead(in);
        if (head == null) return;
        byte[] body = Http.readBody(in, head);
        if (way.isCut) await(in);
        String[] words = head.line().split(" ");
        byte[] answer = answer(words[1], new String(body, StandardCharsets.UTF_8));
        if (way.isCut) await(in);
        out.write(answer);
        out.flush();
      }
    }
  }

  /** Delivers nothing on a connection any more. */
  private static void await(InputStream in) throws IOException {
    while (in.read() >= 0) continue;
    throw new IOException("closed by the caller");
  }

  private byte[] answer(String target, String body) {
    String path = target.split("\\?")[0];
    Map<String, String> query = queryOf(target);
    return switch (path) {
      case "/v1/rows-get" -> get(query);
      case "/v1/rows-feed" -> feed(query);
      case "/v1/rows-tx" -> transact(Json.object(body));
      default -> respond(404, "{}");
    };
  }

  private static Map<String, String> queryOf(String target) {
    Map<String, String> query = new HashMap<>();
    int mark = target.indexOf('?');
    if (mark < 0) return query;
    for (String pair : target.substring(mark + 1).split("&")) {
      String[] parts = pair.split("=", 2);
      query.put(
          URLDecoder.decode(parts[0], StandardCharsets.UTF_8),
          parts.length > 1 ? URLDecoder.decode(parts[1], StandardCharsets.UTF_8) : "");
    }
    return query;
  }

  private byte[] get(Map<String, String> query) {
    String table = query.getOrDefault("table", "");
    String part = query.getOrDefault("part", "");
    long takenMs = latencyMs;
    long servedAfterMs = ThreadLocalRandom.current().nextLong(takenMs + 1);
    Threads.sleep(servedAfterMs);
    List<Row> found = new ArrayList<>();
    long seen;
    synchronized (this) {
      seen = version;
      for (Row row : rows.values()) {
        boolean isWanted = row.table.equals(table) && row.part.equals(part) && row.value != null;
        if (isWanted && row.key.compareTo(query.getOrDefault("from", "")) >= 0) found.add(row);
      }
    }
    found.sort(Comparator.comparing(Row::key));
    List<Object> page = new ArrayList<>();
    int bytes = 0;
    for (Row row : found) {
      if (page.size() == MAX_PAGE_ROWS || (bytes > 0 && bytes + row.value.length() > MAX_PAGE_BYTES)) break;
      bytes += row.value.length();
      page.add(row.fields());
    }
    Threads.sleep(takenMs - servedAfterMs);
    return respondRows(200, page, seen, page.size() < found.size());
  }

  private byte[] feed(Map<String, String> query) {
    String table = query.getOrDefault("table", "");
    long after = Long.parseLong(query.getOrDefault("after", "0"));
    long endsAt = System.nanoTime() + Long.parseLong(query.getOrDefault("waitMs", "0")) * 1_000_000;
    List<Row> changed;
    long seen;
    synchronized (this) {
      while (true) {
        changed = new ArrayList<>();
        for (Row row : rows.values()) {
          if (row.table.equals(table) && row.version > after) changed.add(row);
        }
        seen = version;
        long leftMs = (endsAt - System.nanoTime()) / 1_000_000;
        if (!changed.isEmpty() || leftMs <= 0) break;
        Threads.await(this, leftMs);
      }
    }
    changed.sort(Comparator.comparingLong(Row::version));
    List<Object> page = new ArrayList<>();
    for (Row row : changed) page.add(row.fields());
    Threads.sleep(latencyMs);
    return respondRows(200, page, seen, false);
  }

  private byte[] transact(Map<String, Object> body) {
    long takenMs = latencyMs;
    long servedAfterMs = ThreadLocalRandom.current().nextLong(takenMs + 1);
    Threads.sleep(servedAfterMs);
    List<Object> conflict = new ArrayList<>();
    long seen;
    synchronized (this) {
      boolean holds = true;
      for (Map<String, Object> condition : entries(body, "expectedRevision")) {
        Row row = rows.get(rowOf(condition, null, 0).id());
        long current = row == null || row.value == null ? 0 : row.version;
        if (current != (Long) condition.get("ver")) holds = false;
        if (current != 0) conflict.add(row.fields());
      }
      if (holds) {
        version++;
        for (Map<String, Object> put : entries(body, "put")) store(rowOf(put, (String) put.get("value"), version));
        for (Map<String, Object> removed : entries(body, "remove")) store(rowOf(removed, null, version));
        conflict = null;
        notifyAll();
      }
      seen = version;
    }
    Threads.sleep(takenMs - servedAfterMs);
    if (conflict == null) return respondRows(200, List.of(), seen, false);
    return respondRows(412, conflict, seen, false);
  }

  private void store(Row row) {
    rows.put(row.id(), row);
    if (!row.table.equals("servers")) recorder.write("store: " + row.table + " " + row.part + " " + row.key + " ver " + row.version);
  }

  @SuppressWarnings("unchecked")
  private static List<Map<String, Object>> entries(Map<String, Object> body, String name) {
    Object list = body.get(name);
    return list == null ? List.of() : (List<Map<String, Object>>) list;
  }

  private static Row rowOf(Map<String, Object> entry, String value, long version) {
    return new Row((String) entry.get("table"), (String) entry.get("part"), (String) entry.get("key"), value, version);
  }

  /** Writes a row as operators and runners do. */
  synchronized void put(String table, String key, String json) {
    version++;
    String value = json == null ? null : Base64.getEncoder().encodeToString(json.getBytes(StandardCharsets.UTF_8));
    store(new Row(table, "", key, value, version));
    notifyAll();
  }

  private static byte[] respondRows(int status, List<Object> found, long seen, boolean hasMore) {
    Map<String, Object> body = new LinkedHashMap<>();
    body.put("rows", found);
    body.put("hasMore", hasMore);
    body.put("ver", seen);
    body.put("nowMs", System.nanoTime() / 1_000_000);
    return respond(status, Json.write(body));
  }

  private static byte[] respond(int status, String body) {
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    String head =
        "HTTP/1.1 " + status + " X\r\nContent-Type: application/json\r\nContent-Length: " + bytes.length + "\r\n\r\n";
    byte[] whole = new byte[head.length() + bytes.length];
    System.arraycopy(head.getBytes(StandardCharsets.ISO_8859_1), 0, whole, 0, head.length());
    System.arraycopy(bytes, 0, whole, head.length(), bytes.length);
    return whole;
  }

  @Override
  public void close() throws IOException {
    isClosed = true;
    for (Way way : ways) way.close();
  }
}
