package review;

import java.io.OutputStream;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The platform's store: linearizable rows with the limits of the protocol page: a call holds at most 100 entries and
 * 1 MB, and a row at most {@code rowBytes} of base64.
 */
final class Store extends HttpServerStandIn {
    static final int ROW_BYTES = 65_536;
    private static final int MAX_ENTRIES = 100;
    private static final int MAX_CALL_BYTES = 1_048_576;
    private static final long LATENCY_MS = 3;

    private record Row(String table, String part, String key, String value, long ver) {
        String id() {
            return table + "\0" + part + "\0" + key;
        }

        String json() {
            String value = this.value == null ? "\"tombstone\":true" : "\"value\":\"" + this.value + "\"";
            return "{\"table\":" + Json.quote(table) + ",\"part\":" + Json.quote(part) + ",\"key\":" + Json.quote(key)
                + ",\"ver\":" + ver + "," + value + "}";
        }
    }

    private final TreeMap<String, Row> rows = new TreeMap<>();
    private final List<Row> history = new ArrayList<>();
    private final Recorder recorder;
    private long version;
    /** Whether the store refuses all calls with 503, as when it is down. */
    volatile boolean isDown;

    Store(Recorder recorder) {
        this.recorder = recorder;
    }

    /** Writes a row as operators and servers do, and returns after the acknowledgement. */
    synchronized void put(String table, String key, String json) {
        apply(new Row(table, "", key, Base64.getEncoder().encodeToString(json.getBytes(StandardCharsets.UTF_8)), ++version));
    }

    synchronized void remove(String table, String key) {
        apply(new Row(table, "", key, null, ++version));
    }

    synchronized int count(String table) {
        return (int) rows.values().stream().filter(it -> it.table.equals(table)).count();
    }

    private void apply(Row row) {
        if (row.value == null) rows.remove(row.id()); else rows.put(row.id(), row);
        history.add(row);
        notifyAll();
    }

    @Override
    boolean handle(Request request, OutputStream output, Socket socket) throws Exception {
        if (isDown) {
            respond(output, 503, "", new byte[0]);
            return true;
        }
        String path = request.target().split("\\?")[0];
        Map<String, String> query = query(request.target());
        switch (path) {
            case "/v1/rows-get" -> answer(output, 200, get(query));
            case "/v1/rows-feed" -> answer(output, 200, feed(query));
            case "/v1/rows-tx" -> transact(request, output);
            default -> respond(output, 404, "", new byte[0]);
        }
        return true;
    }

    private synchronized String get(Map<String, String> query) {
        String from = query.getOrDefault("from", "");
        List<Row> found = new ArrayList<>();
        long bytes = 0;
        boolean hasMore = false;
        for (Row row : rows.values()) {
            boolean isMatch = row.table.equals(query.get("table")) && row.part.equals(query.getOrDefault("part", ""));
            if (!isMatch || row.key.compareTo(from) < 0) continue;
            if (found.size() == 500 || bytes + row.value.length() > MAX_CALL_BYTES) {
                hasMore = true;
                break;
            }
            found.add(row);
            bytes += row.value.length();
        }
        return page(found, hasMore);
    }

    private synchronized String feed(Map<String, String> query) throws InterruptedException {
        long after = Long.parseLong(query.get("after"));
        long until = System.nanoTime() + Long.parseLong(query.get("waitMs")) * 1_000_000;
        while (true) {
            List<Row> changed =
                history.stream().filter(it -> it.ver > after && it.table.equals(query.get("table"))).toList();
            long leftMs = (until - System.nanoTime()) / 1_000_000;
            if (!changed.isEmpty() || leftMs <= 0) return page(changed, false);
            wait(leftMs);
        }
    }

    private void transact(Request request, OutputStream output) throws Exception {
        Thread.sleep(LATENCY_MS);
        if (request.body().length > MAX_CALL_BYTES) {
            recorder.log("store refuses a call of " + request.body().length + " bytes with 413");
            respond(output, 413, "", new byte[0]);
            return;
        }
        Map<String, Object> body = Json.object(Json.parse(new String(request.body(), StandardCharsets.UTF_8)));
        List<Row> conditions = rowsOf(body.get("expectedRevision"));
        List<Row> puts = rowsOf(body.get("put"));
        List<Row> removals = rowsOf(body.get("remove"));
        boolean isRowTooLarge = puts.stream().anyMatch(it -> it.value.length() > ROW_BYTES);
        if (conditions.size() + puts.size() + removals.size() > MAX_ENTRIES || isRowTooLarge) {
            respond(output, 413, "", new byte[0]);
            return;
        }
        transact(conditions, puts, removals, output);
    }

    private void transact(List<Row> conditions, List<Row> puts, List<Row> removals, OutputStream output)
        throws Exception {
        int status = 200;
        String answer;
        synchronized (this) {
            boolean holds = conditions.stream().allMatch(it -> it.ver == verOf(it));
            if (holds) {
                version++;
                puts.forEach(it -> apply(new Row(it.table, it.part, it.key, it.value, version)));
                removals.forEach(it -> apply(new Row(it.table, it.part, it.key, null, version)));
                answer = page(List.of(), false);
            } else {
                status = 412;
                answer = page(conditions.stream().map(it -> rows.get(it.id())).filter(it -> it != null).toList(), false);
            }
        }
        answer(output, status, answer);
    }

    private long verOf(Row row) {
        Row current = rows.get(row.id());
        return current == null ? 0 : current.ver;
    }

    private static List<Row> rowsOf(Object list) {
        return Json.list(list).stream().map(Json::object).map(Store::rowOf).toList();
    }

    private static Row rowOf(Map<String, Object> json) {
        Object ver = json.get("ver");
        return new Row(
            (String) json.get("table"),
            (String) json.getOrDefault("part", ""),
            (String) json.get("key"),
            (String) json.get("value"),
            ver == null ? 0 : ((Double) ver).longValue());
    }

    private String page(List<Row> found, boolean hasMore) {
        String list = String.join(",", found.stream().map(Row::json).toList());
        return "{\"rows\":[" + list + "],\"hasMore\":" + hasMore + ",\"ver\":" + version + ",\"nowMs\":"
            + System.nanoTime() / 1_000_000 + "}";
    }

    private static void answer(OutputStream output, int status, String json) throws Exception {
        respond(output, status, "Content-Type: application/json\r\n", json.getBytes(StandardCharsets.UTF_8));
    }

    private static Map<String, String> query(String target) {
        Map<String, String> query = new HashMap<>();
        if (!target.contains("?")) return query;
        for (String pair : target.substring(target.indexOf('?') + 1).split("&")) {
            String[] parts = pair.split("=", 2);
            query.put(parts[0], URLDecoder.decode(parts[1], StandardCharsets.UTF_8));
        }
        return query;
    }
}
