package org.verbenatray.serving;

import java.util.concurrent.CompletableFuture;
import org.verbenatray.telemetry.Metrics;

/**
 * Counts and limits the open requests of an instance, and completes a future when the last one has ended while the
 * instance is draining. Thread-safe.
 */
public final class OpenRequests {
    /** The retry delay sent to callers when the limit is reached, in milliseconds. */
    private static final long RETRY_MILLIS = 1_000;

    private final int limit;
    private final Metrics metrics;

    /** Completes when this instance is draining and no request is open. */
    private final CompletableFuture<Void> drained = new CompletableFuture<>();

    private int open;

    /** Whether new requests are rejected because this instance is shutting down. */
    private boolean draining;

    private OpenRequests(int limit, Metrics metrics) {
        this.limit = limit;
        this.metrics = metrics;
    }

    /** Returns a counter that admits at most the given number of open requests. */
    public static OpenRequests withLimit(int limit, Metrics metrics) {
        return new OpenRequests(limit, metrics);
    }

    /** Adds an open request; throws a {@link RefusalException} if the instance is draining or the limit is reached. */
    public synchronized void add() {
        if (draining) {
            throw new RefusalException(Refusal.retryLater(
                    RefusalKind.LEAVING, "this instance is shutting down; send the request to another instance", 0));
        }
        if (open >= limit) {
            throw new RefusalException(Refusal.retryLater(
                    RefusalKind.OVERLOADED,
                    "this instance has " + limit + " open requests; send the request again later",
                    RETRY_MILLIS));
        }
        open++;
        metrics.setOpenRequests(open);
    }

    /** Removes an open request; called exactly once for each one added. */
    public synchronized void remove() {
        open--;
        metrics.setOpenRequests(open);
        completeWhenDrained();
    }

    /** Rejects new requests from now on; the future completes when no request is open. */
    public synchronized CompletableFuture<Void> startDraining() {
        draining = true;
        completeWhenDrained();
        return drained;
    }

    /** Returns whether this instance is draining. */
    public synchronized boolean isDraining() {
        return draining;
    }

    /** Returns the number of open requests. */
    public synchronized int count() {
        return open;
    }

    /** Completes the future if this instance is draining and no request is open. */
    private void completeWhenDrained() {
        if (draining && open == 0) {
            drained.complete(null);
        }
    }
}
