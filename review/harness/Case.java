package review;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/** Runs one case on a small deployment: exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
abstract class Case {
    static final String[] ZONES = {"zone-a", "zone-b", "zone-c"};
    static final String KEY = "3fexd9dnn2ctnfzs989a";
    static final String TENANT = "hule930";

    final boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
    final List<Gateway> gateways = new ArrayList<>();
    final List<Runner> runners = new ArrayList<>();
    Recorder recorder;
    Store store;
    private Path temporary;
    private long configVersion;

    /** Plays the case and returns whether the rule held. */
    abstract boolean play() throws Exception;

    final void run(String folder) {
        int code = 2;
        Thread cleanUp = new Thread(() -> gateways.forEach(Gateway::destroy));
        Runtime.getRuntime().addShutdownHook(cleanUp);
        try {
            recorder = new Recorder(Path.of(folder));
            recorder.log("TROUBLE=" + (hasTrouble ? 1 : 0));
            temporary = Files.createTempDirectory("review");
            store = new Store(recorder);
            store.listen("127.0.0.1", 0);
            code = play() ? 0 : 1;
            recorder.log(code == 0 ? "the rule held" : "the rule was broken");
        } catch (Exception e) {
            if (recorder != null) recorder.log("the case could not run: " + e);
            e.printStackTrace();
        } finally {
            gateways.forEach(Gateway::destroy);
            if ("1".equals(System.getenv("KEEP_LOGS"))) System.out.println(temporary); else deleteTemporary();
        }
        Runtime.getRuntime().halt(code);
    }

    /** Returns the address at which the gateways reach the store. */
    String storeAddress() {
        return store.address();
    }

    /** Starts gateways, one in each zone in turn, and waits until all are ready. */
    final void startGateways(int count) throws Exception {
        int first = 10 + (int) (ProcessHandle.current().pid() % 200);
        for (int i = 0; i < count; i++) {
            String host = "127." + first + ".1." + (11 + i);
            gateways.add(new Gateway(recorder, temporary, "edge-" + (i + 1), ZONES[i % ZONES.length], host, storeAddress()));
        }
        for (Gateway gateway : gateways) gateway.start();
        awaitReady();
    }

    final void awaitReady() throws Exception {
        for (Gateway gateway : gateways) {
            await(30, "readiness of " + gateway.name, gateway::isReady);
        }
        Runner.sleep(1_500);
    }

    final void startRunners(int count, String service, int slots, boolean streams, long workMs) throws Exception {
        int first = runners.size();
        for (int i = first; i < first + count; i++) {
            Runner runner =
                new Runner(store, recorder, "" + i, service, ZONES[i % ZONES.length], "127.0.0.1", slots, streams, workMs);
            runner.start(0);
            runners.add(runner);
        }
    }

    /** Writes a config with these routes and returns after its acknowledgement. */
    final void configure(double ratePerSecond, int burst, String... routes) {
        configVersion += 3;
        store.put("op", "config", "{\"version\":" + configVersion + ",\"routes\":[" + String.join(",", routes) + "],"
            + "\"services\":[{\"name\":\"llm\",\"healthPath\":\"/health\",\"maxConnections\":150,\"engine\":{\"slots\":12,"
            + "\"kvCapacityTokens\":380318,\"tokensPerEvent\":22}},{\"name\":\"app\",\"healthPath\":\"/health\",\"maxConnections\":96},"
            + "{\"name\":\"app2\",\"healthPath\":\"/health\","
            + "\"maxConnections\":96}],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
            + "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\"tenants\":[{\"name\":\"" + TENANT
            + "\",\"apiKeys\":[\"" + KEY + "\"],\"priority\":1,\"ratePerS\":" + ratePerSecond + ",\"burst\":" + burst + "}]}");
        recorder.log("config " + configVersion + " is acknowledged");
    }

    static String route(String prefix, String kind, String service, boolean isRetained) {
        return "{\"name\":\"r-" + prefix + "\",\"host\":\"" + Client.HOST + "\",\"prefix\":\"/" + prefix
            + "/\",\"routeKind\":\"" + kind + "\",\"timeoutMs\":3000,\"targetLatencyMs\":500,\"priority\":1,\"service\":\""
            + service + "\",\"maxAttempts\":" + (kind.equals("idempotent") ? 2 : 1) + ",\"retained\":" + isRetained
            + ",\"retentionS\":60.0,\"public\":false,\"sticky\":" + isRetained + ",\"resumable\":false,\"targetGapMs\":300}";
    }

    /** Sends a turn of a retained route to a gateway. */
    final Client.Answer turn(int gateway, String what, byte[] body, String previous) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Chestnutloom-Token-Usage", "1000,264");
        headers.put("Chestnutloom-Prompt-Prefix", Client.newId() + ":1000");
        headers.put("Chestnutloom-Program-Deadline-Ms", "60000");
        if (previous != null) headers.put("Chestnutloom-Previous-Turn", previous);
        Client.Answer answer =
            Client.send(gateways.get(gateway).callers, "POST", "/draft/2f", KEY, 3_000, headers, body);
        recorder.log(what + " " + answer.id() + " of " + body.length + " bytes at " + gateways.get(gateway).name
            + (previous == null ? "" : ", previous " + previous) + " -> " + answer);
        return answer;
    }

    interface Condition {
        boolean holds() throws Exception;
    }

    static void await(int seconds, String what, Condition condition) throws Exception {
        long until = System.nanoTime() + seconds * 1_000_000_000L;
        while (!condition.holds()) {
            if (System.nanoTime() > until) throw new IllegalStateException("timeout: " + what);
            Runner.sleep(50);
        }
    }

    private void deleteTemporary() {
        if (temporary == null) return;
        try (Stream<Path> files = Files.walk(temporary)) {
            files.sorted(Comparator.reverseOrder()).forEach(it -> it.toFile().delete());
        } catch (Exception e) {
            System.err.println("temporary folder not deleted: " + e);
        }
    }
}
