package review3;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;

/** Writes what was sent, answered and run to record.txt, with the time since the start in milliseconds. */
final class Recorder implements AutoCloseable {
  private final PrintWriter out;
  private final long startedNanos = System.nanoTime();

  Recorder(Path file) throws IOException {
    out = new PrintWriter(file.toFile(), "UTF-8");
  }

  long nowMs() {
    return (System.nanoTime() - startedNanos) / 1_000_000;
  }

  synchronized void write(String line) {
    out.printf("%7d %s%n", nowMs(), line);
    out.flush();
  }

  @Override
  public void close() {
    out.close();
  }
}
