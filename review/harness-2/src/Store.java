import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** A stand-in for the platform's store: rows with versions, transactions with conditions, and a feed of changes. */
final class Store {
  private static final long LATENCY_MS = 4;

  private final ServerSocket listener;
  private final TreeMap<String, Row> rows = new TreeMap<>();
  private long version = 1;

  private record Row(String table, String part, String key, String value, long version) {}

  Store(String host) throws IOException {
    listener = new ServerSocket(0, 256, InetAddress.getByName(host));
    daemon(this::accept);
  }

  String address() {
    return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
  }

  /** Writes {@code text} to the row {@code key} of {@code table}, as the operator and the runners do. */
  synchronized void put(String table, String key, String text) {
    write(table, "", key, Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8)));
    notifyAll();
  }

  /** Removes the row {@code key} of {@code table}. */
  synchronized void remove(String table, String key) {
    write(table, "", key, null);
    notifyAll();
  }

  /** Returns the number of rows in {@code table}. */
  synchronized long count(String table) {
    return rows.values().stream().filter(row -> row.table.equals(table) && row.value != null).count();
  }

  private void write(String table, String part, String key, String value) {
    rows.put(table + "\n" + part + "\n" + key, new Row(table, part, key, value, ++version));
  }

  private void accept() {
    while (true) {
      try {
        Socket socket = listener.accept();
        socket.setTcpNoDelay(true);
        daemon(() -> serve(socket));
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
        Thread.sleep(LATENCY_MS);
        byte[] body;
        int status = 200;
        String path = request.target().split("\\?")[0];
        Map<String, String> query = query(request.target());
        if (path.equals("/v1/rows-get")) {
          body = get(query);
        } else if (path.equals("/v1/rows-feed")) {
          body = feed(query);
        } else {
          StringBuilder answer = new StringBuilder();
          status = transact(request.text(), answer) ? 200 : 412;
          body = answer.toString().getBytes(StandardCharsets.UTF_8);
        }
        String head =
            "HTTP/1.1 " + status + " X\r\nContent-Type: application/json\r\nContent-Length: " + body.length + "\r\n\r\n";
        output.write(head.getBytes(StandardCharsets.ISO_8859_1));
        output.write(body);
        output.flush();
      }
    } catch (IOException | InterruptedException e) {
      // The caller has left.
    }
  }

  private synchronized byte[] get(Map<String, String> query) {
    List<Row> found = new ArrayList<>();
    for (Row row : rows.values()) {
      boolean isIn = row.table.equals(query.get("table")) && row.part.equals(query.getOrDefault("part", ""));
      if (isIn && row.value != null && row.key.compareTo(query.getOrDefault("from", "")) >= 0) found.add(row);
    }
    return body(found);
  }

  private synchronized byte[] feed(Map<String, String> query) throws InterruptedException {
    long after = Long.parseLong(query.get("after"));
    long endsAt = System.nanoTime() / 1_000_000 + Long.parseLong(query.getOrDefault("waitMs", "0"));
    while (true) {
      List<Row> changed = new ArrayList<>();
      for (Row row : rows.values()) {
        if (row.table.equals(query.get("table")) && row.version > after) changed.add(row);
      }
      changed.sort((a, b) -> Long.compare(a.version, b.version));
      long left = endsAt - System.nanoTime() / 1_000_000;
      if (!changed.isEmpty() || left <= 0) return body(changed);
      wait(left);
    }
  }

  private synchronized boolean transact(String text, StringBuilder answer) {
    Map<?, ?> change = (Map<?, ?>) Json.parse(text);
    List<Row> current = new ArrayList<>();
    boolean holds = true;
    for (Map<?, ?> expected : entries(change, "expectedRevision")) {
      Row row = rows.get(key(expected));
      long existing = row == null || row.value == null ? 0 : row.version;
      if (existing != ((Double) expected.get("ver")).longValue()) holds = false;
      if (row != null && row.value != null) current.add(row);
    }
    if (holds) {
      version++;
      for (Map<?, ?> put : entries(change, "put")) set(put, (String) put.get("value"));
      for (Map<?, ?> removed : entries(change, "remove")) set(removed, null);
      notifyAll();
    }
    answer.append(new String(body(holds ? List.of() : current), StandardCharsets.UTF_8));
    return holds;
  }

  private void set(Map<?, ?> entry, String value) {
    String[] names = key(entry).split("\n", -1);
    rows.put(key(entry), new Row(names[0], names[1], names[2], value, version));
  }

  private static String key(Map<?, ?> entry) {
    return entry.get("table") + "\n" + entry.get("part") + "\n" + entry.get("key");
  }

  private static List<Map<?, ?>> entries(Map<?, ?> change, String name) {
    List<Map<?, ?>> entries = new ArrayList<>();
    if (change.get(name) instanceof List<?> list) list.forEach(entry -> entries.add((Map<?, ?>) entry));
    return entries;
  }

  private byte[] body(List<Row> found) {
    StringBuilder json = new StringBuilder("{\"rows\":[");
    for (int i = 0; i < found.size(); i++) {
      Row row = found.get(i);
      if (i > 0) json.append(',');
      json.append("{\"table\":").append(Json.quote(row.table));
      json.append(",\"part\":").append(Json.quote(row.part));
      json.append(",\"key\":").append(Json.quote(row.key));
      json.append(",\"ver\":").append(row.version);
      if (row.value == null) json.append(",\"tombstone\":true}");
      else json.append(",\"value\":\"").append(row.value).append("\"}");
    }
    json.append("],\"hasMore\":false,\"ver\":").append(version);
    json.append(",\"nowMs\":").append(System.nanoTime() / 1_000_000).append('}');
    return json.toString().getBytes(StandardCharsets.UTF_8);
  }

  private static Map<String, String> query(String target) {
    Map<String, String> query = new HashMap<>();
    int mark = target.indexOf('?');
    if (mark < 0) return query;
    for (String pair : target.substring(mark + 1).split("&")) {
      String[] parts = pair.split("=", 2);
      query.put(parts[0], URLDecoder.decode(parts.length > 1 ? parts[1] : "", StandardCharsets.UTF_8));
    }
    return query;
  }

  static void daemon(Runnable work) {
    Thread thread = new Thread(work);
    thread.setDaemon(true);
    thread.start();
  }
}
