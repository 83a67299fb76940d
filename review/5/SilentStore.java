package review;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;

/**
 * All open connections between the gateways and the store go silent at one moment, while new ones work. Right after
 * that, the operator moves a route to another service. Later requests show which service each gateway sends them to.
 */
final class SilentStore extends Case {
    private static final int ROUNDS = 3;
    private static final int PARALLEL_TURNS = 10;
    private static final double CONTACT_S = 3.0;
    private static final double CONFIG_APPLY_S = 2.0;

    private final Proxy proxy = new Proxy();
    private final Map<String, Double> sentAt = new ConcurrentHashMap<>();
    private volatile boolean isProbing = true;

    public static void main(String[] arguments) {
        new SilentStore().run(arguments[0]);
    }

    @Override
    String storeAddress() {
        return proxy.address();
    }

    @Override
    boolean play() throws Exception {
        proxy.listen(store.port());
        configure("app");
        startRunners(3, "app", 12, false, 5);
        startRunners(3, "app2", 12, false, 5);
        startRunners(3, "llm", 12, true, 120);
        startGateways(3);
        for (int i = 0; i < gateways.size(); i++) {
            int gateway = i;
            HttpServerStandIn.daemon(() -> probe(gateway));
        }
        int stale = 0;
        for (int round = 0; round < ROUNDS; round++) {
            String before = round % 2 == 0 ? "app" : "app2";
            String after = round % 2 == 0 ? "app2" : "app";
            turns();
            double silentAt = recorder.seconds();
            if (hasTrouble) {
                proxy.silence();
                recorder.log("the open connections to the store go silent");
            }
            configure(after);
            double ackedAt = recorder.seconds();
            Runner.sleep(4_000);
            if (hasTrouble) proxy.resetSilent();
            Runner.sleep(6_000);
            stale += staleRuns(before, Math.max(silentAt + CONTACT_S, ackedAt + CONFIG_APPLY_S) + 0.05);
        }
        isProbing = false;
        return stale == 0;
    }

    private void configure(String service) {
        configure(0, 0, route("orders", "non_idempotent", service, false), route("draft", "streaming", "llm", true));
    }

    /** Sends turns to each gateway at the same time, as its callers do, and waits for their answers. */
    private void turns() throws Exception {
        CountDownLatch done = new CountDownLatch(PARALLEL_TURNS * gateways.size());
        for (int i = 0; i < PARALLEL_TURNS * gateways.size(); i++) {
            int gateway = i % gateways.size();
            HttpServerStandIn.daemon(() -> {
                turn(gateway, "turn", new byte[17_000], null);
                done.countDown();
            });
        }
        done.await();
    }

    private void probe(int gateway) {
        while (isProbing) {
            double sent = recorder.seconds();
            Client.Answer answer =
                Client.send(gateways.get(gateway).callers, "POST", "/orders/1", KEY, 3_000, Map.of(), new byte[100]);
            sentAt.put(answer.id(), sent);
            Runner.sleep(20);
        }
    }

    /** Counts the requests that were sent from the given second on and that the service of before still ran. */
    private int staleRuns(String service, double from) {
        int stale = 0;
        double last = from;
        for (Runner runner : runners) {
            if (!runner.service().equals(service)) continue;
            for (Runner.Run run : runner.runs) {
                double sent = sentAt.getOrDefault(run.id(), 0.0);
                if (sent < from || run.atSeconds() > recorder.seconds()) continue;
                stale++;
                last = Math.max(last, sent);
            }
        }
        recorder.log(String.format("%d requests sent after %.3f s were run by %s; the last was sent %.3f s later", stale,
            from, service, last - from));
        return stale;
    }

    /** A proxy before the store whose open connections can go silent. */
    private static final class Proxy {
        private final List<Pair> pairs = new ArrayList<>();
        private ServerSocket server;

        private static final class Pair {
            final Socket client;
            final Socket store;
            volatile boolean isSilent;

            Pair(Socket client, Socket store) {
                this.client = client;
                this.store = store;
            }
        }

        void listen(int storePort) throws IOException {
            server = new ServerSocket();
            server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 512);
            HttpServerStandIn.daemon(() -> accept(storePort));
        }

        String address() {
            return "127.0.0.1:" + server.getLocalPort();
        }

        private void accept(int storePort) {
            while (true) {
                try {
                    Socket client = server.accept();
                    Socket store = new Socket(InetAddress.getLoopbackAddress(), storePort);
                    client.setTcpNoDelay(true);
                    store.setTcpNoDelay(true);
                    Pair pair = new Pair(client, store);
                    synchronized (pairs) {
                        pairs.add(pair);
                    }
                    HttpServerStandIn.daemon(() -> copy(pair, client, store));
                    HttpServerStandIn.daemon(() -> copy(pair, store, client));
                } catch (IOException e) {
                    return;
                }
            }
        }

        private static void copy(Pair pair, Socket from, Socket to) {
            byte[] buffer = new byte[65_536];
            try {
                InputStream input = from.getInputStream();
                OutputStream output = to.getOutputStream();
                int count;
                while ((count = input.read(buffer)) >= 0) {
                    if (pair.isSilent) return;
                    output.write(buffer, 0, count);
                }
            } catch (IOException e) {
                // The other side closed the connection.
            }
            if (!pair.isSilent) close(pair);
        }

        /** Makes all open connections silent: nothing is delivered any more, and nothing is closed. */
        void silence() {
            synchronized (pairs) {
                pairs.forEach(it -> it.isSilent = true);
            }
        }

        /** Ends the silent connections, as the keep-alive probes of the gateways would by then. */
        void resetSilent() {
            synchronized (pairs) {
                pairs.stream().filter(it -> it.isSilent).forEach(Proxy::close);
                pairs.removeIf(it -> it.isSilent);
            }
        }

        private static void close(Pair pair) {
            try {
                pair.client.close();
                pair.store.close();
            } catch (IOException e) {
                // Already closed.
            }
        }
    }
}
