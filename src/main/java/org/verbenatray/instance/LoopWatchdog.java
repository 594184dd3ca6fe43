package org.verbenatray.instance;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.Consumer;
import org.verbenatray.telemetry.Event;

/**
 * Notices that the event loop runs no tasks any more. Time is counted in looks of the watchdog's own thread, which a
 * suspended or slow machine delays as much as the loop.
 */
public final class LoopWatchdog {
    /** The time between two looks in milliseconds. */
    static final long LOOK_INTERVAL_MILLIS = 2_000;

    /** The number of looks without progress after which the process is given up. */
    static final int LOOKS_TO_GIVE_UP = 10;

    /** The number of looks without progress after which the stall is logged. */
    private static final int LOOKS_TO_LOG = 2;

    private static final Logger log = System.getLogger(LoopWatchdog.class.getName());

    private final Executor loop;

    /** Called once, with the reason, when the loop is given up. */
    private final Consumer<String> onGivenUp;

    /** Whether the last task has run; written on the loop. */
    private volatile boolean progressed = true;

    private int looksWithoutProgress;

    /** Creates a watchdog that does nothing until {@link #look} is called. */
    LoopWatchdog(Executor loop, Consumer<String> onGivenUp) {
        this.loop = loop;
        this.onGivenUp = onGivenUp;
    }

    /** Starts a thread that looks at the loop regularly. */
    public static void start(Executor loop, Consumer<String> onGivenUp) {
        LoopWatchdog watchdog = new LoopWatchdog(loop, onGivenUp);
        Thread thread = new Thread(watchdog::lookForever, "watchdog");
        thread.setDaemon(true);
        thread.start();
    }

    private void lookForever() {
        try {
            while (looksWithoutProgress < LOOKS_TO_GIVE_UP) {
                look();
                Thread.sleep(LOOK_INTERVAL_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Checks whether the task of the last look has run, and hands the loop the next one. */
    void look() {
        if (progressed) {
            looksWithoutProgress = 0;
            progressed = false;
            execute();
            return;
        }
        looksWithoutProgress++;
        if (looksWithoutProgress == LOOKS_TO_LOG) {
            Event.named("event_loop_stalled")
                    .with("ms", looksWithoutProgress * LOOK_INTERVAL_MILLIS)
                    .log(log, Level.ERROR);
        }
        if (looksWithoutProgress == LOOKS_TO_GIVE_UP) {
            onGivenUp.accept("the event loop ran no task for " + looksWithoutProgress * LOOK_INTERVAL_MILLIS + " ms");
        }
    }

    private void execute() {
        try {
            loop.execute(() -> progressed = true);
        } catch (RejectedExecutionException e) {
            Event.named("event_loop_closed").with("why", e).log(log, Level.ERROR);
        }
    }
}
