package org.verbenatray.resilience;

import java.util.ArrayDeque;
import java.util.Deque;
import org.verbenatray.time.Ticker;

/**
 * The retries of one service that this instance may send: a share of the requests that it received in the same window.
 *
 * <p>As each instance spends only what its own requests earned, the sum over all instances keeps to the same share,
 * however many they are and whoever is cut off.
 */
public final class RetryBudget {
    /** The clock. */
    private final Ticker ticker;

    /** Retries per request. */
    private double ratio;

    /** The window in nanoseconds. */
    private long windowNanos;

    /** When the requests of the window came. */
    private final Deque<Long> requests = new ArrayDeque<>();

    /** When the retries of the window were sent. */
    private final Deque<Long> retries = new ArrayDeque<>();

    /** Creates a budget. */
    private RetryBudget(Ticker ticker, double ratio, long windowMillis) {
        this.ticker = ticker;
        this.ratio = ratio;
        this.windowNanos = windowMillis * 1_000_000;
    }

    /** Returns a budget of the given retries per request over a sliding window in milliseconds. */
    public static RetryBudget create(Ticker ticker, double ratio, long windowMillis) {
        return new RetryBudget(ticker, ratio, windowMillis);
    }

    /** Changes the retries per request and the sliding window in milliseconds; what was counted stays counted. */
    public void allow(double newRatio, long newWindowMillis) {
        ratio = newRatio;
        windowNanos = newWindowMillis * 1_000_000;
    }

    /** Counts a request of a caller. */
    public void earn() {
        forget();
        requests.addLast(ticker.nanos());
    }

    /** Takes one retry from the budget and returns whether there was one. */
    public boolean spend() {
        forget();
        if (retries.size() + 1 > ratio * requests.size()) {
            return false;
        }
        retries.addLast(ticker.nanos());
        return true;
    }

    /** Returns the retries that are left. */
    public double left() {
        forget();
        return ratio * requests.size() - retries.size();
    }

    /** Drops what is older than the window. */
    private void forget() {
        long oldest = ticker.nanos() - windowNanos;
        dropBefore(requests, oldest);
        dropBefore(retries, oldest);
    }

    /** Drops the times before a time. */
    private static void dropBefore(Deque<Long> times, long oldest) {
        while (!times.isEmpty() && times.peekFirst() - oldest < 0) {
            times.removeFirst();
        }
    }
}
