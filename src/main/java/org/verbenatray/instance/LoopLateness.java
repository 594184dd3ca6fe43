package org.verbenatray.instance;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.function.DoubleConsumer;
import java.util.function.LongSupplier;
import org.verbenatray.telemetry.Event;
import org.verbenatray.time.Deadline;
import org.verbenatray.time.Ticker;

/**
 * Measures how late a repeated task of the event loop runs. Whatever has arrived meanwhile, such as the close of a
 * caller's connection, has waited as long to be noticed. Used on one thread.
 */
final class LoopLateness {
    private static final long LOGGED_MILLIS = 250;

    private static final Logger log = System.getLogger(LoopLateness.class.getName());

    private final LongSupplier task;

    private final Ticker ticker;

    /** Receives each lateness in seconds. */
    private final DoubleConsumer recorder;

    /** When the next run is due, null before the first run. */
    private Deadline due;

    private LoopLateness(LongSupplier task, Ticker ticker, DoubleConsumer recorder) {
        this.task = task;
        this.ticker = ticker;
        this.recorder = recorder;
    }

    /** Returns a task as the given one, which returns the time to its next run in milliseconds and is measured. */
    static LongSupplier measure(LongSupplier task, Ticker ticker, DoubleConsumer recorder) {
        return new LoopLateness(task, ticker, recorder)::run;
    }

    private long run() {
        if (due != null) {
            record(Math.max(0, ticker.nanos() - due.atNanos()) / 1e6);
        }
        long nextRunMillis = task.getAsLong();
        due = Deadline.afterMillis(ticker.nanos(), nextRunMillis);
        return nextRunMillis;
    }

    private void record(double millis) {
        recorder.accept(millis / 1_000);
        if (millis >= LOGGED_MILLIS) {
            Event.named("event_loop_late").with("ms", Math.round(millis)).log(log, Level.WARNING);
        }
    }
}
