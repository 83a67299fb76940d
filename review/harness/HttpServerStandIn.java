package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** A small HTTP/1.1 server on a loopback address, with one thread for each connection. */
abstract class HttpServerStandIn {
    /** A request that was read completely. */
    record Request(String method, String target, Map<String, String> headers, byte[] body) {
        String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }
    }

    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private volatile ServerSocket server;
    private InetSocketAddress address;

    /** Handles one request and returns whether the connection stays open. */
    abstract boolean handle(Request request, OutputStream output, Socket socket) throws Exception;

    final synchronized void listen(String host, int port) throws IOException {
        ServerSocket socket = new ServerSocket();
        socket.setReuseAddress(true);
        socket.bind(new InetSocketAddress(InetAddress.getByName(host), port), 512);
        address = (InetSocketAddress) socket.getLocalSocketAddress();
        server = socket;
        daemon(() -> accept(socket));
    }

    final String address() {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    final int port() {
        return address.getPort();
    }

    /** Closes the listening socket and resets all connections, as when the process is killed. */
    final void crash() {
        try {
            server.close();
            for (Socket socket : open) {
                socket.setSoLinger(true, 0);
                socket.close();
            }
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private void accept(ServerSocket socket) {
        while (true) {
            try {
                Socket connection = socket.accept();
                connection.setTcpNoDelay(true);
                open.add(connection);
                daemon(() -> serve(connection));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream input = new BufferedInputStream(socket.getInputStream(), 65_536);
            while (true) {
                Request request = read(input);
                if (request == null || !handle(request, socket.getOutputStream(), socket)) return;
            }
        } catch (Exception e) {
            // The peer closed the connection, or this stand-in crashed.
        } finally {
            open.remove(socket);
        }
    }

    static Request read(InputStream input) throws IOException {
        String first = line(input);
        if (first == null) return null;
        String[] parts = first.split(" ");
        Map<String, String> headers = headers(input);
        return new Request(parts[0], parts[1], headers, body(input, headers));
    }

    static Map<String, String> headers(InputStream input) throws IOException {
        Map<String, String> headers = new TreeMap<>();
        String line;
        while (!(line = required(line(input))).isEmpty()) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
        }
        return headers;
    }

    /** Reads a body with a length or in chunks; throws an EOFException if it is incomplete. */
    static byte[] body(InputStream input, Map<String, String> headers) throws IOException {
        if (!"chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
            int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
            return exactly(input, length);
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            int size = Integer.parseInt(required(line(input)).trim(), 16);
            body.write(exactly(input, size));
            required(line(input));
            if (size == 0) return body.toByteArray();
        }
    }

    private static byte[] exactly(InputStream input, int length) throws IOException {
        byte[] bytes = input.readNBytes(length);
        if (bytes.length < length) throw new EOFException("the body ends early");
        return bytes;
    }

    private static String required(String line) throws EOFException {
        if (line == null) throw new EOFException("the message ends early");
        return line;
    }

    static String line(InputStream input) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int b;
        while ((b = input.read()) != '\n') {
            if (b < 0) return null;
            if (b != '\r') line.write(b);
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    static void respond(OutputStream output, int status, String headers, byte[] body) throws IOException {
        String head = "HTTP/1.1 " + status + " Status\r\n" + headers + "Content-Length: " + body.length + "\r\n\r\n";
        ByteArrayOutputStream message = new ByteArrayOutputStream();
        message.write(head.getBytes(StandardCharsets.ISO_8859_1));
        message.write(body);
        output.write(message.toByteArray());
        output.flush();
    }

    static void daemon(Runnable action) {
        Thread thread = new Thread(action);
        thread.setDaemon(true);
        thread.start();
    }
}
