package review3;

import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** One process of the role `edge`, started with the command of the deploy file. */
final class Gateway implements AutoCloseable {
  private static final List<Gateway> STARTED = new ArrayList<>();

  final String name;
  final InetAddress address;
  final int callerPort;
  final int readinessPort;
  private final int linkPort;
  private final String zone;
  /** The way of this machine to the store. */
  final Store.Way way;
  private final Path folder;
  private final Recorder recorder;
  private Process process;
  private int starts = 0;

  Gateway(String name, String zone, InetAddress address, Store.Way way, Path folder, Recorder recorder)
      throws IOException {
    this.name = name;
    this.zone = zone;
    this.address = address;
    this.way = way;
    this.folder = folder;
    this.recorder = recorder;
    callerPort = freePort(address);
    readinessPort = freePort(address);
    linkPort = freePort(address);
    STARTED.add(this);
  }

  static int freePort(InetAddress address) throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, address)) {
      return socket.getLocalPort();
    }
  }

  void start() throws IOException {
    Path repository = Path.of("").toAbsolutePath();
    String deploy = Files.readString(repository.resolve("deploy/system.toml"));
    Path settings = folder.resolve(name + ".toml");
    Files.writeString(settings, "nodeName = \"" + name + "\"\nrole = \"edge\"\nmachineClass = \"edge\"\n");
    List<String> command = new ArrayList<>();
    for (String word : valueOf(deploy, "run").split(" ")) command.add(filled(word));
    ProcessBuilder builder = new ProcessBuilder(command).directory(repository.toFile());
    Map<String, String> environment = builder.environment();
    environment.keySet().retainAll(Arrays.asList("PATH", "HOME", "JAVA_HOME", "LANG"));
    environment.put("CHESTNUTLOOM_CONFIG", settings.toString());
    environment.put("CHESTNUTLOOM_PROCESSOR_SHARE", "0.75");
    environment.put(
        "CHESTNUTLOOM_CONTRACTS", "base,drain,config,cost,recover,agent,stream,engine,tenants,quota,platform");
    File log = folder.resolve(name + "-" + ++starts + ".log").toFile();
    process = builder.redirectErrorStream(true).redirectOutput(log).start();
    recorder.write("gateway " + name + ": started as process " + process.pid());
  }

  private static String valueOf(String deploy, String key) {
    for (String line : deploy.split("\n")) {
      if (line.startsWith(key + " = \"java")) return line.substring(key.length() + 4, line.length() - 1);
    }
    throw new IllegalStateException("no " + key + " in the deploy file");
  }

  private String filled(String word) {
    return word.replace("{{nodeName}}", name)
        .replace("{{zone}}", zone)
        .replace("{{ip}}", address.getHostAddress())
        .replace("{{internalPortRange.0}}", "" + linkPort)
        .replace("{{listenAddresses.frontend}}", address.getHostAddress() + ":" + callerPort)
        .replace("{{listenAddresses.readiness}}", address.getHostAddress() + ":" + readinessPort)
        .replace("{{platform.address}}", way.address())
        .replace("{{platform.rowBytes}}", "65536")
        .replace("{{bounds.graceS}}", "8");
  }

  /** Returns whether the process answers that it is ready. */
  boolean isReady() {
    try (Socket socket = new Socket(address, readinessPort)) {
      socket.setSoTimeout(900);
      Runner.write(socket.getOutputStream(), "GET /v1/readiness HTTP/1.1\r\nHost: platform\r\nConnection: close\r\n\r\n");
      Http.Head head = Http.readHead(Http.buffered(socket.getInputStream()));
      return head != null && head.line().contains(" 200 ");
    } catch (IOException e) {
      return false;
    }
  }

  void awaitReady() {
    long endsAt = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
    while (!isReady()) {
      if (System.nanoTime() > endsAt) throw new CannotRun("gateway " + name + " is not ready after 30 s");
      Threads.sleep(50);
    }
    recorder.write("gateway " + name + ": ready");
  }

  /** Ends the process at once, as SIGKILL does. */
  void kill() throws InterruptedException {
    recorder.write("gateway " + name + ": SIGKILL");
    process.destroyForcibly().waitFor();
  }

  @Override
  public void close() {
    if (process != null) process.destroyForcibly();
  }

  static void closeAll() {
    STARTED.forEach(Gateway::close);
  }
}
