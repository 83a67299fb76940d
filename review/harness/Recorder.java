package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run to {@code record.txt}, with the seconds since the start. */
final class Recorder {
    private final long startedAt = System.nanoTime();
    private final PrintWriter out;

    Recorder(Path folder) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")), true);
    }

    double seconds() {
        return (System.nanoTime() - startedAt) / 1e9;
    }

    synchronized void log(String line) {
        out.printf("%8.3f  %s%n", seconds(), line);
    }
}
