package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;

/** A client of the gateways. */
final class Client {
    static final String HOST = "ficu95.example";

    /** What the client got: status 0 stands for no answer. */
    record Answer(
        String id, int status, Map<String, String> headers, byte[] body, boolean isWhole, boolean isTimeout) {
        static Answer none(String id, boolean isTimeout) {
            return new Answer(id, 0, Map.of(), new byte[0], false, isTimeout);
        }

        /** Whether the gateway closed the connection without any answer. */
        boolean isClosed() {
            return status == 0 && !isTimeout;
        }

        boolean isSuccess() {
            return status / 100 == 2 && isWhole && headers.containsKey("chestnutloom-server-signature");
        }

        @Override
        public String toString() {
            if (status == 0) return isTimeout ? "no answer in time" : "closed without an answer";
            return status + (isWhole ? "" : " (cut)");
        }
    }

    private Client() {
    }

    static String newId() {
        byte[] bytes = new byte[8];
        ThreadLocalRandom.current().nextBytes(bytes);
        return HexFormat.of().formatHex(bytes);
    }

    /** Sends a request with a new attempt id on a new connection and reads the answer until the client's deadline. */
    static Answer send(
        String address, String method, String path, String key, int deadlineMs, Map<String, String> extra, byte[] body) {
        try (Connection connection = new Connection(address)) {
            return connection.send(method, path, key, deadlineMs, extra, body);
        } catch (IOException e) {
            return Answer.none(newId(), false);
        }
    }

    /** A connection that is kept for several requests, one after the other. */
    static final class Connection implements AutoCloseable {
        private final Socket socket = new Socket();
        private final InputStream input;

        Connection(String address) throws IOException {
            socket.setTcpNoDelay(true);
            socket.connect(socketAddress(address), 1_000);
            input = new BufferedInputStream(socket.getInputStream());
        }

        Answer send(String method, String path, String key, int deadlineMs, Map<String, String> extra, byte[] body) {
            String id = newId();
            try {
                socket.setSoTimeout(deadlineMs);
                OutputStream output = socket.getOutputStream();
                output.write(head(id, method, path, key, deadlineMs, extra, body).getBytes(StandardCharsets.ISO_8859_1));
                output.write(body);
                output.flush();
                return answer(id, input);
            } catch (SocketTimeoutException e) {
                return Answer.none(id, true);
            } catch (IOException e) {
                return Answer.none(id, false);
            }
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    private static String head(
        String id, String method, String path, String key, int deadlineMs, Map<String, String> extra, byte[] body) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Host", HOST);
        headers.put("Chestnutloom-Attempt-Id", id);
        headers.put("Chestnutloom-Deadline-Ms", "" + deadlineMs);
        if (key != null) headers.put("Authorization", "Token " + key);
        headers.putAll(extra);
        if (body.length > 0 || method.equals("POST")) headers.put("Content-Length", "" + body.length);
        StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
        headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        return head.append("\r\n").toString();
    }

    private static Answer answer(String id, InputStream input) throws IOException {
        String first = HttpServerStandIn.line(input);
        if (first == null) return Answer.none(id, false);
        int status = Integer.parseInt(first.split(" ")[1]);
        Map<String, String> headers = HttpServerStandIn.headers(input);
        try {
            return new Answer(id, status, headers, HttpServerStandIn.body(input, headers), true, false);
        } catch (IOException e) {
            return new Answer(id, status, headers, new byte[0], false, e instanceof SocketTimeoutException);
        }
    }

    /** Returns the status of the readiness check of a gateway, or 0 without an answer. */
    static int readiness(String address) {
        return send(address, "GET", "/v1/readiness", null, 1_000, Map.of(), new byte[0]).status;
    }

    private static InetSocketAddress socketAddress(String address) {
        String[] parts = address.split(":");
        return new InetSocketAddress(parts[0], Integer.parseInt(parts[1]));
    }
}
