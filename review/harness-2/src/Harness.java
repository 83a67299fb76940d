import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A small deployment on loopback addresses: the gateways as processes of their own, and stand-ins for the rest. */
final class Harness {
  private static final int CALLER_PORT = 8368;
  private static final int HEALTH_PORT = 8369;
  private static final int LINK_PORT = 7780;
  private static final int ADMIN_PORT = 9100;

  final Store store;

  /** The requests that runners began to run. */
  final ConcurrentLinkedQueue<Run> runs = new ConcurrentLinkedQueue<>();

  static final String ENGINE = "\"engine\":{\"slots\":24,\"kvCapacityTokens\":756054,\"tokensPerEvent\":18}";

  /** Whether each request is recorded; false while very many are sent. */
  volatile boolean isRecording = true;

  private final long startedAt = System.nanoTime();
  private final PrintWriter record;
  private final String network;
  private final Path temporary;
  private final List<Gateway> gateways = new ArrayList<>();

  /** A request that the runner {@code runner} began to run. */
  record Run(long atMs, String runner, String attempt, Http.Message request) {}

  /** One process of the system. */
  record Gateway(String name, String ip, Path log, Process process) {
    void signal(String signal) throws IOException, InterruptedException {
      new ProcessBuilder("kill", "-" + signal, String.valueOf(process.pid())).inheritIO().start().waitFor();
    }

    /** Opens a caller's connection; {@code receiveBytes} bounds what is in flight to it, or is 0. */
    Socket connect(int receiveBytes) throws IOException {
      Socket socket = new Socket();
      if (receiveBytes > 0) socket.setReceiveBufferSize(receiveBytes);
      socket.setTcpNoDelay(true);
      socket.connect(new java.net.InetSocketAddress(ip, CALLER_PORT), 1_000);
      return socket;
    }
  }

  /** @param recordFile where to write what was sent, answered and run */
  Harness(Path recordFile) throws IOException {
    record = new PrintWriter(Files.newBufferedWriter(recordFile), true);
    temporary = Files.createTempDirectory("review-2");
    network = freeNetwork();
    store = new Store(network + ".7");
    Runtime.getRuntime().addShutdownHook(new Thread(this::stop));
  }

  /** Returns the first three numbers of loopback addresses at which nothing listens. */
  private static String freeNetwork() throws IOException {
    for (int tries = 0; tries < 50; tries++) {
      String candidate = "127." + (20 + (int) (Math.random() * 200)) + "." + (1 + (int) (Math.random() * 250));
      if (isFree(candidate)) return candidate;
    }
    throw new IOException("no free loopback addresses");
  }

  private static boolean isFree(String candidate) {
    for (int machine = 11; machine < 20; machine++) {
      for (int port : new int[] {CALLER_PORT, HEALTH_PORT, LINK_PORT, ADMIN_PORT}) {
        try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(candidate + "." + machine))) {
          socket.getLocalPort();
        } catch (IOException e) {
          return false;
        }
      }
    }
    return true;
  }

  String host(int number) {
    return network + "." + number;
  }

  /** Returns whether a runner began to run the request {@code attempt}. */
  boolean hasRun(String attempt) {
    return runs.stream().anyMatch(run -> attempt.equals(run.attempt));
  }

  long elapsedMs() {
    return (System.nanoTime() - startedAt) / 1_000_000;
  }

  void record(String line) {
    if (!isRecording) return;
    synchronized (record) {
      record.println(elapsedMs() + " ms " + line);
    }
  }

  /** Starts {@code count} gateways with the command of the deploy file, and returns once all are ready. */
  List<Gateway> startGateways(int count) throws IOException, InterruptedException {
    for (int i = 0; i < count; i++) startGateway("edge-" + (i + 1), host(11 + i));
    for (Gateway gateway : List.copyOf(gateways)) awaitReady(gateway);
    record(count + " gateways are ready");
    return List.copyOf(gateways);
  }

  /** Starts one gateway, whether or not one of this name ran before. */
  Gateway startGateway(String name, String ip) throws IOException {
    Path settings = temporary.resolve(name + ".toml");
    Files.writeString(settings, settings(name, ip));
    String command = match(Files.readString(Path.of("deploy/system.toml")), "(?m)^run = \"(.*)\"$");
    Map<String, String> fields =
        Map.ofEntries(
            Map.entry("nodeName", name),
            Map.entry("zone", "zone-a"),
            Map.entry("ip", ip),
            Map.entry("internalPortRange.0", String.valueOf(LINK_PORT)),
            Map.entry("listenAddresses.frontend", ip + ":" + CALLER_PORT),
            Map.entry("listenAddresses.readiness", ip + ":" + HEALTH_PORT),
            Map.entry("platform.address", store.address()),
            Map.entry("platform.rowBytes", "65536"),
            Map.entry("bounds.graceS", "8"));
    List<String> words = new ArrayList<>();
    for (String word : command.split(" ")) {
      Matcher field = Pattern.compile("\\{\\{(.*?)}}").matcher(word);
      words.add(field.replaceAll(found -> fields.get(found.group(1))));
    }
    ProcessBuilder builder = new ProcessBuilder(words);
    builder.environment().put("CHESTNUTLOOM_CONFIG", settings.toString());
    builder.environment().put("CHESTNUTLOOM_PROCESSOR_SHARE", "0.75");
    builder.environment().put("CHESTNUTLOOM_CONTRACTS", CONTRACTS.replace("\"", ""));
    builder.redirectErrorStream(true);
    Path log = temporary.resolve(name + ".log");
    builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
    Gateway gateway = new Gateway(name, ip, log, builder.start());
    gateways.add(gateway);
    return gateway;
  }

  private static final String CONTRACTS =
      "\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"agent\",\"stream\",\"engine\",\"tenants\",\"quota\",\"platform\"";

  private String settings(String name, String ip) {
    return """
        nodeName = "%s"
        role = "edge"
        machineClass = "edge"
        serves = ["edge"]
        ip = "%s"
        zone = "zone-a"
        region = "region-a"
        internalPortRange = [7780,7795]
        bootstrap = true
        heartbeatIntervalMs = 1200
        contracts = [%s]
        [listenAddresses]
        frontend = "%s:%d"
        readiness = "%s:%d"
        [limits]
        cpuShare = 0.75
        cpuCores = 2
        memoryMb = 470
        [bounds]
        graceS = 8
        [platform]
        address = "%s"
        form = "table"
        rowBytes = 65536
        """.formatted(name, ip, CONTRACTS, ip, CALLER_PORT, ip, HEALTH_PORT, store.address());
  }

  private static String match(String text, String pattern) {
    Matcher found = Pattern.compile(pattern).matcher(text);
    if (!found.find()) throw new IllegalStateException("no " + pattern);
    return found.group(1);
  }

  void awaitReady(Gateway gateway) throws IOException, InterruptedException {
    long endsAt = elapsedMs() + 40_000;
    while (!isReady(gateway)) {
      if (elapsedMs() > endsAt) throw new IOException(gateway.name + " does not become ready");
      Thread.sleep(50);
    }
  }

  boolean isReady(Gateway gateway) {
    try (Socket socket = new Socket(gateway.ip, HEALTH_PORT)) {
      socket.setSoTimeout(1_000);
      socket.getOutputStream().write("GET /v1/readiness HTTP/1.1\r\nHost: health\r\n\r\n".getBytes());
      Http.Message answer = Http.readHead(socket.getInputStream());
      return answer != null && answer.status() == 200;
    } catch (IOException e) {
      return false;
    }
  }

  /** Ends all processes that were started. */
  void stop() {
    for (Gateway gateway : gateways) gateway.process.destroyForcibly();
    for (Gateway gateway : gateways) {
      try {
        gateway.process.waitFor(5, TimeUnit.SECONDS);
      } catch (InterruptedException e) {
        return;
      }
    }
    try (var files = Files.list(temporary)) {
      for (Path file : files.toList()) Files.delete(file);
      Files.delete(temporary);
    } catch (IOException e) {
      // Nothing else is left to remove.
    }
  }

  /** Returns the operator's config with {@code routes}, {@code services} and {@code tenants}, each as JSON. */
  static String config(int version, String routes, String services, String tenants) {
    return "{\"version\":" + version + ",\"routes\":[" + routes + "],\"services\":[" + services + "],\"limits\":"
        + "{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},"
        + "\"tenants\":[" + tenants + "]}";
  }

  /** Returns the tenant that holds the key of {@link Caller}. */
  static String tenant(int ratePerSecond, int burst) {
    return "{\"name\":\"hule930\",\"apiKeys\":[\"" + Caller.KEY + "\"],\"priority\":1,\"ratePerS\":" + ratePerSecond
        + ",\"burst\":" + burst + "}";
  }

  static String service(String name) {
    return "{\"name\":\"" + name + "\",\"healthPath\":\"/health\",\"maxConnections\":210,\"protocol\":\"h1\",\"tls\":false}";
  }

  static String route(String name, String prefix, String kind, String service, int timeoutMs, String more) {
    return "{\"name\":\"" + name + "\",\"host\":\"app.example\",\"prefix\":\"" + prefix + "\",\"routeKind\":\"" + kind
        + "\",\"timeoutMs\":" + timeoutMs + ",\"targetLatencyMs\":500,\"priority\":1,\"service\":\"" + service
        + "\",\"maxAttempts\":2,\"retained\":false,\"retentionS\":60.0,\"public\":false" + more + "}";
  }
}
