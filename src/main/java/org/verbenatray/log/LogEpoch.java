package org.verbenatray.log;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.List;
import org.verbenatray.telemetry.Event;

/**
 * The epoch of a log service, a number that rises each time the service is restored from an older copy. Records that
 * were acknowledged after that copy are then lost and their offsets are given out again, so what was read in one epoch
 * says nothing of the offsets of the next.
 *
 * <p>Not thread-safe: all calls come from one thread.
 */
public final class LogEpoch {
    private static final Logger log = System.getLogger(LogEpoch.class.getName());

    private final List<Runnable> listeners = new ArrayList<>();

    /** The highest epoch of any answer, or -1 before the first. */
    private long newest = -1;

    private LogEpoch() {}

    /** Returns an epoch of which no answer has told. */
    public static LogEpoch unknown() {
        return new LogEpoch();
    }

    /** Returns the highest epoch that was seen; zero while no answer has told one. */
    public long newest() {
        return Math.max(0, newest);
    }

    /**
     * Adds a listener that is called after each rise, before the answer that told of it is used. What the listener has
     * read before may be lost.
     */
    public void onRise(Runnable listener) {
        listeners.add(listener);
    }

    /**
     * Records the epoch of an answer and notifies the listeners if it has risen. Returns whether the answer is of the
     * newest epoch; an older one must not be used.
     */
    public boolean record(long epoch) {
        if (epoch > newest) {
            long former = newest;
            newest = epoch;
            if (former >= 0) {
                Event.named("log_restored_from_copy")
                        .with("former_epoch", former)
                        .with("epoch", epoch)
                        .log(log, Level.WARNING);
                listeners.forEach(Runnable::run);
            }
        }
        return epoch == newest;
    }
}
