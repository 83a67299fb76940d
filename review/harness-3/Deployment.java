package review3;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small deployment: a store, gateways in three zones, model runners and plain runners, and a config with four routes. */
final class Deployment {
  static final String HOST = "ficu95.example";
  static final String KEY = "3fexd9dnn2ctnfzs989a";
  static final String CHAT = "/lohu930/";
  static final String NEW_CHAT = "/zeta77/";
  static final String HOLD = "/hold/";
  static final String READ = "/pule252/";
  static final String PAY = "/cane410/";
  private static final String[] ZONES = {"sicilia-siracusa", "sicilia-catania", "sicilia-palermo"};

  final Store store;
  final List<Gateway> gateways = new ArrayList<>();
  final List<Runner> runners = new ArrayList<>();
  private final Case frame;
  private String addedPrefix = null;

  Deployment(Case frame) throws IOException {
    this.frame = frame;
    store = new Store(frame.nextAddress(), frame.recorder);
  }

  /** Adds a route for turns with [prefix], to the same service. */
  void addRoute(String prefix) {
    addedPrefix = prefix;
  }

  void addGateway() throws IOException {
    int number = gateways.size();
    String name = "edge-" + (number + 1);
    gateways.add(new Gateway(name, ZONES[number % ZONES.length], frame.nextAddress(), store.open(), frame.folder, frame.recorder));
  }

  void addRunner(String service, int slots, Runner.Answer answer) throws IOException {
    int number = runners.size();
    String id = "i-" + Integer.toHexString(0x7f3a91 + number * 7919);
    runners.add(new Runner(id, service, ZONES[number % ZONES.length], slots, frame.nextAddress(), store, frame.recorder, answer));
  }

  void configure(int version) {
    store.put("op", "config", config(version));
  }

  String config(int version) {
    return "{\"version\":" + version + ",\"routes\":["
        + route("r-chat", CHAT, "streaming", 3_000, 200, "models", 1, true, false) + ","
        + (addedPrefix != null ? route("r-new", addedPrefix, "streaming", 3_000, 200, "models", 1, true, false) + "," : "")
        + route("r-hold", HOLD, "streaming", 3_000, 200, "models", 1, false, true) + ","
        + route("r-read", READ, "idempotent", 1_200, 156, "app", 2, false, false) + ","
        + route("r-pay", PAY, "non_idempotent", 3_000, 524, "app", 1, false, false)
        + "],\"services\":[{\"name\":\"models\",\"healthPath\":\"/health\",\"maxConnections\":150,\"protocol\":\"h1\",\"tls\":false,"
        + "\"engine\":{\"slots\":12,\"kvCapacityTokens\":380318,\"kvBytes\":18432,\"tokensPerEvent\":22,\"models\":[{\"name\":\"m\"}]}},"
        + "{\"name\":\"app\",\"healthPath\":\"/health\",\"maxConnections\":96,\"protocol\":\"h1\",\"tls\":false}],"
        + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},"
        + "\"tenants\":[{\"name\":\"hule930\",\"apiKeys\":[\"" + KEY + "\"],\"priority\":1,\"ratePerS\":133,\"burst\":133}]}";
  }

  private static String route(
      String name, String prefix, String kind, int timeoutMs, int targetMs, String service, int attempts, boolean isRetained, boolean isResumable) {
    return "{\"name\":\"" + name + "\",\"host\":\"" + HOST + "\",\"prefix\":\"" + prefix + "\",\"routeKind\":\"" + kind
        + "\",\"timeoutMs\":" + timeoutMs + ",\"targetLatencyMs\":" + targetMs + ",\"priority\":1,\"service\":\"" + service
        + "\",\"maxAttempts\":" + attempts + ",\"retained\":" + isRetained
        + (isRetained ? ",\"retentionS\":60.0" : "") + ",\"public\":false,\"sticky\":" + isRetained
        + ",\"resumable\":" + isResumable + ",\"targetGapMs\":300}";
  }

  void start() throws IOException {
    for (Gateway gateway : gateways) gateway.start();
    for (Gateway gateway : gateways) gateway.awaitReady();
    // The gateways exchange heartbeats, and the allotment of the tenant fills up from nothing.
    Threads.sleep(3_000);
  }

  /** Returns the headers that every request of the tenant carries. */
  static Map<String, String> headers(String attempt, int deadlineMs) {
    Map<String, String> headers = new LinkedHashMap<>();
    headers.put("Host", HOST);
    headers.put("Chestnutloom-Attempt-Id", attempt);
    headers.put("Chestnutloom-Deadline-Ms", "" + deadlineMs);
    headers.put("Authorization", "Token " + KEY);
    return headers;
  }

  /** Returns the headers of a turn. */
  static Map<String, String> turn(String attempt, String program, String session, int budget, int most, String previous) {
    Map<String, String> headers = headers(attempt, 3_000);
    headers.put("Chestnutloom-Model", "m");
    headers.put("Chestnutloom-Program-Id", program);
    headers.put("Chestnutloom-Session-Id", session);
    headers.put("Chestnutloom-Program-Deadline-Ms", "9000");
    headers.put("Chestnutloom-Token-Budget", "" + budget);
    headers.put("Chestnutloom-Token-Usage", "1840," + most);
    if (previous != null) headers.put("Chestnutloom-Previous-Turn", previous);
    return headers;
  }
}
