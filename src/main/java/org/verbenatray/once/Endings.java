package org.verbenatray.once;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.verbenatray.log.Appender;
import org.verbenatray.log.RecordBody;
import org.verbenatray.time.Timing;

/** The outcomes and releases that are not yet known to be in the log; each is appended until a verdict is read. */
final class Endings {
    /** The largest number of endings that are appended in one go. */
    private static final int MAX_PER_FLUSH = 64;

    /** Appends the records. */
    private final Appender appender;

    /** The wait for a verdict in milliseconds. */
    private final long timeoutMillis;

    /** The sources of time. */
    private final Timing timing;

    /** The endings by attempt, the oldest first. */
    private final Map<String, Ending> pending = new LinkedHashMap<>();

    /** Creates an empty list. */
    private Endings(Appender appender, long timeoutMillis, Timing timing) {
        this.appender = appender;
        this.timeoutMillis = timeoutMillis;
        this.timing = timing;
    }

    /** Returns an empty list. */
    static Endings create(Appender appender, long timeoutMillis, Timing timing) {
        return new Endings(appender, timeoutMillis, timing);
    }

    /** Adds the end of an attempt. */
    synchronized void add(String attempt, RecordBody body) {
        pending.putIfAbsent(attempt, new Ending(attempt, body, false));
    }

    /** Returns the number of endings. */
    synchronized int size() {
        return pending.size();
    }

    /** Returns the outcome or release of an attempt that is not yet known to be in the log. */
    synchronized Optional<RecordBody> of(String attempt) {
        return Optional.ofNullable(pending.get(attempt)).map(Ending::body);
    }

    /** Appends the endings that are not under way. */
    void flush() {
        for (Ending ending : takeIdle()) {
            appender.submit(ending.body(), Optional.empty(), timing.inMillis(timeoutMillis))
                    .whenComplete((verdict, error) -> finish(ending, error == null));
        }
    }

    /** Marks some idle endings as under way and returns them. */
    private synchronized List<Ending> takeIdle() {
        List<Ending> idle = new ArrayList<>();
        for (Ending ending : pending.values()) {
            if (!ending.underWay() && idle.size() < MAX_PER_FLUSH) {
                idle.add(ending);
            }
        }
        idle.forEach(ending -> pending.put(ending.attempt(), ending.withUnderWay(true)));
        return idle;
    }

    /** Drops an ending that was judged, whatever the verdict; keeps another for the next flush. */
    private synchronized void finish(Ending ending, boolean judged) {
        if (judged) {
            pending.remove(ending.attempt());
        } else {
            pending.computeIfPresent(ending.attempt(), (attempt, present) -> present.withUnderWay(false));
        }
    }

    /**
     * The end of one attempt.
     *
     * @param attempt the attempt
     * @param body the outcome or release
     * @param underWay whether it is being appended
     */
    private record Ending(String attempt, RecordBody body, boolean underWay) {
        /** Returns this ending with another mark. */
        private Ending withUnderWay(boolean mark) {
            return new Ending(attempt, body, mark);
        }
    }
}
