package org.verbenatray.serving;

import java.util.concurrent.CompletableFuture;
import org.verbenatray.telemetry.Metrics;

/** Counts the requests without a final answer, bounds them, and tells when the last one is answered. */
public final class OpenRequests {
    /** The time after which a caller may come back, in milliseconds. */
    private static final long RETRY_MILLIS = 1_000;

    /** The largest number of open requests. */
    private final int bound;

    /** Shows the number. */
    private final Metrics metrics;

    /** Completes when this instance is leaving and the last request is answered. */
    private final CompletableFuture<Void> drained = new CompletableFuture<>();

    /** The open requests. */
    private int open;

    /** Whether this instance takes nothing new. */
    private boolean leaving;

    /** Creates a counter. */
    private OpenRequests(int bound, Metrics metrics) {
        this.bound = bound;
        this.metrics = metrics;
    }

    /** Returns a counter with the given bound. */
    public static OpenRequests bounded(int bound, Metrics metrics) {
        return new OpenRequests(bound, metrics);
    }

    /** Counts a request in; fails with a {@link RefusalException} when it cannot be taken. */
    public synchronized void enter() {
        if (leaving) {
            throw new RefusalException(Refusal.retryLater(
                    RefusalKind.LEAVING, "this instance is leaving; send the request to another instance", 0));
        }
        if (open >= bound) {
            throw new RefusalException(Refusal.retryLater(
                    RefusalKind.OVERLOADED,
                    "this instance has " + bound + " open requests; send the request again later",
                    RETRY_MILLIS));
        }
        open++;
        metrics.openRequests(open);
    }

    /** Counts a request out. */
    public synchronized void exit() {
        open--;
        metrics.openRequests(open);
        completeWhenDrained();
    }

    /** Takes nothing new from now on; the future completes when the last request is answered. */
    public synchronized CompletableFuture<Void> leave() {
        leaving = true;
        completeWhenDrained();
        return drained;
    }

    /** Returns whether this instance takes nothing new. */
    public synchronized boolean isLeaving() {
        return leaving;
    }

    /** Returns the number of open requests. */
    public synchronized int count() {
        return open;
    }

    /** Completes the future where it is time. */
    private void completeWhenDrained() {
        if (leaving && open == 0) {
            drained.complete(null);
        }
    }
}
