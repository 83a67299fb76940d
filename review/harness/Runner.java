package review;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/** A sound runner that registers in the store, answers each request, and can crash and start again. */
final class Runner extends HttpServerStandIn {
    /** A request that this runner ran. */
    record Run(String id, String tenant, String path, String previous, int bodyHash, int bodyBytes, double atSeconds) {
    }

    private static final long HEARTBEAT_MS = 1_200;
    private static final int EXPIRY_HEARTBEATS = 3;

    /** What a faulty runner sends after a complete response: the beginning of another one. */
    private static final String[] EXTRA = {
        "HTTP/1.1 503 Service Unavailable\r\nChestnutloom-Not-Executed: 1",
        "HTTP/1.1 200 OK\r\nDate: Sat, 05 Dec",
    };

    final List<Run> runs = new CopyOnWriteArrayList<>();
    /** The statuses of the responses by attempt id. */
    final Map<String, Integer> statuses = new ConcurrentHashMap<>();
    /** The share of the requests that fail at this runner with its own status 500. */
    volatile double failureShare;
    /** The share of the responses after which this runner sends additional bytes. */
    volatile double extraShare;
    private final Store store;
    private final Recorder recorder;
    private final String name;
    private final String service;
    private final String zone;
    private final String host;
    private final int slots;
    private final boolean streams;
    private final long workMs;
    private final AtomicInteger sequence = new AtomicInteger();
    private volatile String id;
    private volatile long born;
    private volatile boolean isUp;

    Runner(
        Store store, Recorder recorder, String name, String service, String zone, String host, int slots,
        boolean streams, long workMs) {
        this.store = store;
        this.recorder = recorder;
        this.name = name;
        this.service = service;
        this.zone = zone;
        this.host = host;
        this.slots = slots;
        this.streams = streams;
        this.workMs = workMs;
    }

    /** Starts a new lifetime, with a new id, at the address of the one before. */
    void start(int port) throws IOException {
        born = System.currentTimeMillis();
        id = "i-" + name + "-" + Long.toHexString(born);
        sequence.set(0);
        listen(host, port);
        isUp = true;
        beat();
        String lifetime = id;
        daemon(() -> heartbeats(lifetime));
        recorder.log("runner " + id + " of " + service + " starts at " + address());
    }

    /** Crashes as after SIGKILL; the entry is removed after three heartbeat intervals of silence. */
    void kill() {
        String lost = id;
        isUp = false;
        crash();
        recorder.log("runner " + lost + " crashes");
        daemon(() -> {
            sleep(HEARTBEAT_MS * EXPIRY_HEARTBEATS);
            store.remove("servers", lost);
        });
    }

    String service() {
        return service;
    }

    private void heartbeats(String lifetime) {
        while (true) {
            sleep(HEARTBEAT_MS);
            if (!isUp || !lifetime.equals(id)) return;
            beat();
        }
    }

    private void beat() {
        store.put("servers", id, "{\"service\":\"" + service + "\",\"address\":\"" + address() + "\",\"zone\":\"" + zone
            + "\",\"version\":\"v1\",\"slots\":" + slots + ",\"state\":\"ready\",\"coldRemainingMs\":0,\"stage\":\"both\","
            + "\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],\"born\":" + born + ",\"sequence\":"
            + sequence.incrementAndGet() + "}");
    }

    @Override
    boolean handle(Request request, OutputStream output, Socket socket) throws Exception {
        String attempt = request.header("Chestnutloom-Attempt-Id");
        if (request.target().equals("/health")) {
            respond(output, 200, "Chestnutloom-Instance-Id: " + id + "\r\n", new byte[0]);
            return true;
        }
        if (attempt == null) {
            respond(output, 400, "Chestnutloom-Not-Executed: 1\r\n", new byte[0]);
            return true;
        }
        String expected = request.header("Chestnutloom-Expect-Instance");
        if (expected != null && !expected.equals(id)) {
            respond(output, 421, "Chestnutloom-Instance-Id: " + id + "\r\n", new byte[0]);
            return true;
        }
        String tenant = request.header("Chestnutloom-Tenant");
        runs.add(new Run(attempt, tenant, request.target(), request.header("Chestnutloom-Previous-Turn"),
            Arrays.hashCode(request.body()), request.body().length, recorder.seconds()));
        recorder.log("run " + attempt + " at " + id + " tenant " + tenant + " " + request.target() + " body "
            + request.body().length + " bytes");
        String headers = "Chestnutloom-Attempt-Id: " + attempt + "\r\nChestnutloom-Server-Signature: sig-" + attempt + "\r\n";
        if (streams) {
            stream(output, headers, attempt);
        } else {
            sleep(workMs);
            int status = ThreadLocalRandom.current().nextDouble() < failureShare ? 500 : 200;
            statuses.put(attempt, status);
            String result = (status == 200 ? "done " : "failed ") + attempt;
            respond(output, status, headers, result.getBytes(StandardCharsets.UTF_8));
            if (ThreadLocalRandom.current().nextDouble() < extraShare) sendExtra(output, attempt);
        }
        return true;
    }

    private void sendExtra(OutputStream output, String attempt) throws IOException {
        sleep(5);
        String extra = EXTRA[ThreadLocalRandom.current().nextInt(EXTRA.length)];
        output.write(extra.getBytes(StandardCharsets.ISO_8859_1));
        output.flush();
        recorder.log(id + " sends additional bytes after its answer to " + attempt + ": " + extra.replace("\r\n", " | "));
    }

    private void stream(OutputStream output, String headers, String attempt) throws IOException {
        output.write(("HTTP/1.1 200 OK\r\n" + headers + "Content-Type: text/event-stream\r\n"
            + "Transfer-Encoding: chunked\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
        for (int event = 1; event <= EVENTS; event++) {
            sleep(workMs / EVENTS);
            byte[] bytes = event(event, attempt).getBytes(StandardCharsets.UTF_8);
            output.write((Integer.toHexString(bytes.length) + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
            output.write(bytes);
            output.write("\r\n".getBytes(StandardCharsets.ISO_8859_1));
            output.flush();
        }
        output.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
        output.flush();
    }

    static final int EVENTS = 12;

    private static String data(int event, String attempt) {
        return "words " + event + " of " + attempt;
    }

    static String event(int event, String attempt) {
        return "id: " + event + "\ndata: " + data(event, attempt) + "\n\n";
    }

    /** Returns what a turn adds to its chain: the data of each event, each followed by a line feed. */
    static String output(String attempt) {
        StringBuilder out = new StringBuilder();
        for (int event = 1; event <= EVENTS; event++) out.append(data(event, attempt)).append('\n');
        return out.toString();
    }

    static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }
}
