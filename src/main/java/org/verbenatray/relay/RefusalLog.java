package org.verbenatray.relay;

import java.util.function.Consumer;
import java.util.function.Supplier;
import org.verbenatray.telemetry.Event;
import org.verbenatray.time.Deadline;
import org.verbenatray.time.Scheduler;
import org.verbenatray.time.Ticker;

/**
 * The log lines of requests that are refused before they are relayed. Callers that come back at once after each refusal
 * would fill the log, so the lines beyond some a second are counted only. Used on one thread.
 */
final class RefusalLog {
    /** The largest number of lines in a window. */
    private static final int MAX_LINES = 100;

    private static final long WINDOW_MILLIS = 1_000;

    private final Consumer<Event> out;

    private final Ticker ticker;

    private final Scheduler scheduler;

    /** The end of the current window, null before the first. */
    private Deadline windowEnd;

    private int lines;

    /** The refusals of the current window without a line. */
    private long omitted;

    private RefusalLog(Consumer<Event> out, Ticker ticker, Scheduler scheduler) {
        this.out = out;
        this.ticker = ticker;
        this.scheduler = scheduler;
    }

    /** Creates a log that passes its lines on. */
    static RefusalLog create(Consumer<Event> out, Ticker ticker, Scheduler scheduler) {
        return new RefusalLog(out, ticker, scheduler);
    }

    /** Records a refusal, whose line is only made if it is written. */
    void record(Supplier<Event> line) {
        if (windowEnd == null || windowEnd.hasPassed(ticker.nanos())) {
            tellOmitted();
            windowEnd = Deadline.afterMillis(ticker.nanos(), WINDOW_MILLIS);
            lines = 0;
        }
        if (lines < MAX_LINES) {
            lines++;
            out.accept(line.get());
            return;
        }
        if (omitted == 0) {
            scheduler.runAt(windowEnd, this::tellOmitted);
        }
        omitted++;
    }

    /** Writes how many refusals had no line since this was written last, if any. */
    private void tellOmitted() {
        if (omitted > 0) {
            out.accept(Event.named("refused_omitted").with("count", omitted));
            omitted = 0;
        }
    }
}
