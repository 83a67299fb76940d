package review3;

import java.io.IOException;
import java.net.InetAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.stream.Stream;

/** The frame of a case: it starts and ends everything, and turns what was seen into the exit status. */
abstract class Case {
  /** Whether the disruption is left out. */
  final boolean isCalm = "0".equals(System.getenv("TROUBLE"));
  final Recorder recorder;
  final Path folder;
  private final int network = ThreadLocalRandom.current().nextInt(16, 200);
  private int hosts = 0;
  private final List<String> broken = new ArrayList<>();

  Case(Path record) throws IOException {
    recorder = new Recorder(record);
    folder = Files.createTempDirectory("review");
  }

  /** Plays the case. */
  abstract void play() throws Exception;

  /** Records that the rule was broken. */
  synchronized void broken(String what) {
    broken.add(what);
    recorder.write("BROKEN: " + what);
  }

  /** Returns another loopback address. */
  InetAddress nextAddress() throws IOException {
    hosts++;
    return InetAddress.getByName("127." + network + "." + ThreadLocalRandom.current().nextInt(1, 250) + "." + hosts);
  }

  /** Runs the case and returns its exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
  int run() {
    int status = 2;
    Runtime.getRuntime().addShutdownHook(new Thread(Gateway::closeAll));
    try {
      recorder.write(isCalm ? "without the disruption" : "with the disruption");
      play();
      status = broken.isEmpty() ? 0 : 1;
    } catch (CannotRun e) {
      recorder.write("cannot run: " + e.getMessage());
    } catch (Exception e) {
      recorder.write("cannot run: " + e);
    } finally {
      if (System.getenv("KEEP_LOGS") == null) delete();
      else recorder.write("logs in " + folder);
    }
    recorder.write("exit status " + status + ", broken " + broken.size() + " times");
    recorder.close();
    return status;
  }

  private void delete() {
    Gateway.closeAll();
    try (Stream<Path> files = Files.walk(folder)) {
      files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
    } catch (IOException e) {
      recorder.write("the temporary folder was not deleted: " + e.getMessage());
    }
  }
}
