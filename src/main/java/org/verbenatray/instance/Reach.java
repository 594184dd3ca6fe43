package org.verbenatray.instance;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.List;
import org.verbenatray.backends.Backend;
import org.verbenatray.backends.BackendDirectory;
import org.verbenatray.backends.BackendStage;
import org.verbenatray.telemetry.Event;
import org.verbenatray.time.Deadline;
import org.verbenatray.time.Ticker;

/**
 * Knows whether this instance is cut off: it reaches neither the list of servers nor most of the engines. Callers are
 * then better served by an instance of another failure domain.
 */
final class Reach {
    /** The time in milliseconds for which the list must be out of reach. */
    private static final long LOST_MILLIS = 1_000;

    /** The share of engines out of reach from which an instance is cut off. */
    private static final double MOST = 0.5;

    /** The log. */
    private static final Logger log = System.getLogger(Reach.class.getName());

    /** The clock. */
    private final Ticker ticker;

    /** The backend servers. */
    private final BackendDirectory directory;

    /** From when on the list counts as lost, null while it is read. */
    private volatile Deadline lostFrom;

    /** Whether the instance was cut off when last asked. */
    private volatile boolean cutOff;

    /** Creates a view. */
    private Reach(Ticker ticker, BackendDirectory directory) {
        this.ticker = ticker;
        this.directory = directory;
    }

    /** Returns the view of an instance that reaches everything so far. */
    static Reach of(Ticker ticker, BackendDirectory directory) {
        return new Reach(ticker, directory);
    }

    /** Notes that the list of servers was read. */
    void listRead() {
        lostFrom = null;
    }

    /** Notes that the list of servers could not be read. */
    void listLost() {
        if (lostFrom == null) {
            lostFrom = Deadline.afterMillis(ticker.nanos(), LOST_MILLIS);
        }
    }

    /** Looks again whether this instance is cut off; on the thread of the directory. */
    void look() {
        boolean now = lostFrom != null && lostFrom.passed(ticker.nanos()) && unreachableShare() >= MOST;
        if (now != cutOff) {
            Event.named(now ? "cut_off" : "in_reach")
                    .with("engines_out_of_reach", unreachableShare())
                    .log(log, Level.WARNING);
        }
        cutOff = now;
    }

    /** Returns whether this instance was cut off at the last look. */
    boolean cutOff() {
        return cutOff;
    }

    /** Returns the share of engines that are out of reach, zero where there are none. */
    private double unreachableShare() {
        List<Backend> engines = directory.all().stream()
                .filter(backend -> backend.entry().stage() != BackendStage.PLAIN)
                .toList();
        long missing = engines.stream().filter(Backend::unreachable).count();
        return engines.isEmpty() ? 0 : (double) missing / engines.size();
    }
}
