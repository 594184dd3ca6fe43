import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** What was sent, answered and run, one line an event, with the milliseconds since the start. */
final class Record {
    private final PrintWriter out;
    private final long startNanos = System.nanoTime();

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    long millis() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    synchronized void write(String line) {
        out.printf("%7d %s%n", millis(), line);
    }
}
