package review;

import java.io.File;
import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** One edge machine: a process with the command of the deploy file, on a loopback address of its own. */
final class Gateway {
    private static final int ADMIN_PORT = 9100;

    final String name;
    final String callers;
    final String health;
    private final Recorder recorder;
    private final Path folder;
    private final Path settings;
    private final List<String> command;
    private Process process;
    private int starts;

    Gateway(Recorder recorder, Path folder, String name, String zone, String host, String store) throws IOException {
        this.recorder = recorder;
        this.folder = folder;
        this.name = name;
        callers = host + ":" + freePort(host);
        health = host + ":" + freePort(host);
        checkFree(host, ADMIN_PORT);
        Map<String, String> fields = new LinkedHashMap<>();
        fields.put("nodeName", name);
        fields.put("zone", zone);
        fields.put("ip", host);
        fields.put("internalPortRange.0", "" + freePort(host));
        fields.put("listenAddresses.frontend", callers);
        fields.put("listenAddresses.readiness", health);
        fields.put("platform.address", store);
        fields.put("platform.rowBytes", "" + Store.ROW_BYTES);
        fields.put("bounds.graceS", "8");
        command = command(fields);
        settings = folder.resolve(name + ".toml");
        Files.writeString(settings, "nodeName = \"" + name + "\"\nrole = \"edge\"\nip = \"" + host + "\"\nzone = \"" + zone
            + "\"\n[listenAddresses]\nfrontend = \"" + callers + "\"\nreadiness = \"" + health + "\"\n[platform]\naddress = \""
            + store + "\"\nrowBytes = " + Store.ROW_BYTES + "\n[bounds]\ngraceS = 8\n");
    }

    /** Reads the command of the role edge from the deploy file and fills in the fields. */
    private static List<String> command(Map<String, String> fields) throws IOException {
        String run = Files.readAllLines(Path.of("deploy/system.toml")).stream()
            .filter(it -> it.startsWith("run = ")).findFirst().orElseThrow();
        run = run.substring(run.indexOf('"') + 1, run.lastIndexOf('"'));
        for (Map.Entry<String, String> field : fields.entrySet()) {
            run = run.replace("{{" + field.getKey() + "}}", field.getValue());
        }
        if (run.contains("{{")) throw new IOException("unknown field in: " + run);
        return new ArrayList<>(List.of(run.split(" ")));
    }

    void start() throws IOException {
        ProcessBuilder builder = new ProcessBuilder(command);
        Map<String, String> environment = builder.environment();
        environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        environment.put("CHESTNUTLOOM_CONFIG", settings.toString());
        File log = folder.resolve(name + "-" + ++starts + ".log").toFile();
        process = builder.redirectErrorStream(true).redirectOutput(log).start();
        recorder.log(name + " starts");
    }

    boolean isAlive() {
        return process.isAlive();
    }

    void kill() {
        recorder.log(name + " is killed");
        process.destroyForcibly();
    }

    void signal(String signal) throws Exception {
        recorder.log(name + " gets " + signal);
        new ProcessBuilder("kill", "-" + signal, "" + process.pid()).inheritIO().start().waitFor();
    }

    void awaitExit() throws InterruptedException {
        process.waitFor();
    }

    void destroy() {
        if (process != null) process.destroyForcibly();
    }

    boolean isReady() {
        return Client.readiness(health) == 200;
    }

    static int freePort(String host) throws IOException {
        while (true) {
            int port;
            try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(host))) {
                port = socket.getLocalPort();
            }
            try (DatagramSocket socket = new DatagramSocket(new InetSocketAddress(host, port))) {
                return socket.getLocalPort();
            } catch (IOException e) {
                // Taken as a UDP port; try another one.
            }
        }
    }

    private static void checkFree(String host, int port) throws IOException {
        new ServerSocket(port, 1, InetAddress.getByName(host)).close();
    }
}
