package org.verbenatray.resilience;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.DoubleSupplier;
import org.verbenatray.time.Ticker;

/**
 * Limits the retries that this instance sends to one service to a share of the requests that it received in the same
 * sliding window, and a constant allowance beyond it.
 *
 * <p>Since each instance counts only its own requests, the retries of all instances together stay within the same
 * share, whatever their number and even if some are cut off from the others. The allowances of the instances have to
 * add up to at most the allowance of all.
 */
public final class RetryBudget {
    /**
     * The time in milliseconds by which a server may receive a retry later than others. A retry beyond the earned ones
     * is allowed only if the retries of the window and of this time before it are within the limit.
     */
    private static final long ARRIVAL_SPREAD_MILLIS = 2_000;

    private final Ticker ticker;
    private double retriesPerRequest;
    private long windowNanos;

    /** The number of retries in a window that are allowed beyond the earned ones, which may be fractional. */
    private final DoubleSupplier allowance;

    /** When the requests of the window were received, oldest first. */
    private final Deque<Long> requestNanos = new ArrayDeque<>();

    /** When the retries of the window and of the arrival spread before it were sent, oldest first. */
    private final Deque<Long> retryNanos = new ArrayDeque<>();

    private RetryBudget(Ticker ticker, double retriesPerRequest, long windowMillis, DoubleSupplier allowance) {
        this.ticker = ticker;
        this.retriesPerRequest = retriesPerRequest;
        this.windowNanos = windowMillis * 1_000_000;
        this.allowance = allowance;
    }

    /** Creates a budget of the given retries per request over a sliding window in milliseconds. */
    public static RetryBudget create(Ticker ticker, double retriesPerRequest, long windowMillis) {
        return create(ticker, retriesPerRequest, windowMillis, () -> 0);
    }

    /**
     * Creates a budget of the given retries per request over a sliding window in milliseconds, and an allowance of
     * retries in a window beyond that, which is asked for at each retry.
     */
    public static RetryBudget create(
            Ticker ticker, double retriesPerRequest, long windowMillis, DoubleSupplier allowance) {
        return new RetryBudget(ticker, retriesPerRequest, windowMillis, allowance);
    }

    /**
     * Changes the retries per request and the length of the sliding window in milliseconds. Requests and retries
     * counted before stay counted.
     */
    public void configure(double newRetriesPerRequest, long newWindowMillis) {
        retriesPerRequest = newRetriesPerRequest;
        windowNanos = newWindowMillis * 1_000_000;
    }

    /** Counts a request received from a caller. */
    public void recordRequest() {
        removeExpired();
        requestNanos.addLast(ticker.nanos());
    }

    /** Spends one retry and returns true, or returns false if the budget is exhausted. */
    public boolean trySpend() {
        if (remaining() < 1) {
            return false;
        }
        retryNanos.addLast(ticker.nanos());
        return true;
    }

    /** Returns one retry that was spent and not sent. */
    public void refund() {
        retryNanos.pollLast();
    }

    /** Returns the number of retries left, which may be fractional or negative. */
    public double remaining() {
        removeExpired();
        double earned = retriesPerRequest * requestNanos.size();
        long oldestNanos = ticker.nanos() - windowNanos;
        long inWindow =
                retryNanos.stream().filter(sent -> sent - oldestNanos >= 0).count();
        return Math.max(earned - inWindow, earned + allowance.getAsDouble() - retryNanos.size());
    }

    /** Removes requests and retries older than the window. */
    private void removeExpired() {
        long oldestNanos = ticker.nanos() - windowNanos;
        removeBefore(requestNanos, oldestNanos);
        removeBefore(retryNanos, oldestNanos - ARRIVAL_SPREAD_MILLIS * 1_000_000);
    }

    private static void removeBefore(Deque<Long> timesNanos, long oldestNanos) {
        while (!timesNanos.isEmpty() && timesNanos.peekFirst() - oldestNanos < 0) {
            timesNanos.removeFirst();
        }
    }
}
