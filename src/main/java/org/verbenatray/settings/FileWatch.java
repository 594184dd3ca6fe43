package org.verbenatray.settings;

import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.function.Consumer;
import org.verbenatray.telemetry.Event;
import org.verbenatray.time.Deadline;
import org.verbenatray.time.Scheduler;
import org.verbenatray.time.Ticker;

/** Reads a small file now and then and tells when its text has changed; a file that can't be read changes nothing. */
public final class FileWatch {
    /** The time between two looks in milliseconds. */
    private static final long BETWEEN_MILLIS = 2_000;

    /** The log. */
    private static final Logger log = System.getLogger(FileWatch.class.getName());

    /** The file. */
    private final Path path;

    /** Hears of a changed text. */
    private final Consumer<String> onChange;

    /** The text that was told last. */
    private String known;

    /** Creates a watch. */
    private FileWatch(Path path, String known, Consumer<String> onChange) {
        this.path = path;
        this.known = known;
        this.onChange = onChange;
    }

    /** Starts to watch a file whose present text is known. */
    public static FileWatch start(
            Path path, String known, Consumer<String> onChange, Ticker ticker, Scheduler scheduler) {
        FileWatch watch = new FileWatch(path, known, onChange);
        watch.again(ticker, scheduler);
        return watch;
    }

    /** Looks at once; may be called on any thread. */
    public synchronized void look() {
        String text;
        try {
            text = Files.readString(path, StandardCharsets.UTF_8);
        } catch (IOException e) {
            Event.named("settings_unreadable")
                    .with("path", path.getFileName())
                    .with("why", e.getMessage())
                    .log(log, Level.WARNING);
            return;
        }
        if (!text.equals(known)) {
            known = text;
            onChange.accept(text);
        }
    }

    /** Looks later, and again after that. */
    private void again(Ticker ticker, Scheduler scheduler) {
        scheduler.runAt(Deadline.afterMillis(ticker.nanos(), BETWEEN_MILLIS), () -> {
            look();
            again(ticker, scheduler);
        });
    }
}
