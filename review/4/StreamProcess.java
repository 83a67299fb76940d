package review;

import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/**
 * A runner as a process of its own. Its streams have neither a length nor chunks and end with their connection; the two
 * halves of an event are written some time apart.
 */
final class StreamProcess extends HttpServerStandIn {
    private static final int HALF_EVENT_MS = 25;

    private final String id;

    private StreamProcess(String id) {
        this.id = id;
    }

    public static void main(String[] arguments) throws Exception {
        StreamProcess runner = new StreamProcess(arguments[0]);
        runner.listen("127.0.0.1", 0);
        System.out.println(runner.address());
        Thread.sleep(120_000);
    }

    @Override
    boolean handle(Request request, OutputStream output, Socket socket) throws Exception {
        String attempt = request.header("Chestnutloom-Attempt-Id");
        if (attempt == null || !id.equals(request.header("Chestnutloom-Expect-Instance"))) {
            respond(output, 421, "Chestnutloom-Instance-Id: " + id + "\r\n", new byte[0]);
            return true;
        }
        write(output, "HTTP/1.1 200 OK\r\nChestnutloom-Attempt-Id: " + attempt + "\r\nChestnutloom-Server-Signature: sig-"
            + attempt + "\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n");
        for (int event = 1; event <= Runner.EVENTS; event++) {
            String text = Runner.event(event, attempt);
            write(output, text.substring(0, text.length() / 2));
            Runner.sleep(HALF_EVENT_MS);
            write(output, text.substring(text.length() / 2));
            Runner.sleep(1);
        }
        return false;
    }

    private static void write(OutputStream output, String text) throws Exception {
        output.write(text.getBytes(StandardCharsets.UTF_8));
        output.flush();
    }
}
