package org.verbenatray.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.IntFunction;

/** Callers that each make the next call when the last one ended, for a given time. */
final class ClosedLoop {
    /** The time after which open calls are given up in seconds. */
    private static final long PATIENCE_SECONDS = 60;

    /** The time at which no further call is made. */
    private final long untilNanos;

    /** Makes one call of the caller with a number. */
    private final IntFunction<CompletableFuture<?>> call;

    /** Creates a loop. */
    private ClosedLoop(long untilNanos, IntFunction<CompletableFuture<?>> call) {
        this.untilNanos = untilNanos;
        this.call = call;
    }

    /** Runs a number of callers, waits until all calls ended and returns the nanoseconds that it took. */
    static long run(int callers, double seconds, IntFunction<CompletableFuture<?>> call) {
        long start = System.nanoTime();
        ClosedLoop loop = new ClosedLoop(start + (long) (seconds * 1e9), call);
        List<CompletableFuture<Void>> ends = new ArrayList<>();
        for (int caller = 0; caller < callers; caller++) {
            ends.add(new CompletableFuture<>());
            loop.next(caller, ends.get(caller));
        }
        CompletableFuture.allOf(ends.toArray(CompletableFuture[]::new))
                .orTimeout((long) seconds + PATIENCE_SECONDS, TimeUnit.SECONDS)
                .join();
        return System.nanoTime() - start;
    }

    /** Makes the next call of a caller, or ends it when the time is over. */
    private void next(int caller, CompletableFuture<Void> end) {
        if (System.nanoTime() - untilNanos >= 0) {
            end.complete(null);
            return;
        }
        call.apply(caller).whenCompleteAsync((result, failure) -> {
            if (failure != null) {
                end.completeExceptionally(failure);
            } else {
                next(caller, end);
            }
        });
    }
}
