package org.verbenatray.admission;

/**
 * Bounds the retries of this instance to a fraction of its first attempts. In any time with N first attempts there are
 * at most {@code fraction * N + reserve} retries. Thread-safe.
 */
public final class RetryBudget {
    /** The retries that each first attempt allows. */
    private final double fraction;

    /** The largest number of retries that can be saved. */
    private final double reserve;

    /** The retries that are allowed now. */
    private double balance;

    /** Creates a budget with a full reserve. */
    private RetryBudget(double fraction, double reserve) {
        this.fraction = fraction;
        this.reserve = reserve;
        this.balance = reserve;
    }

    /**
     * Returns a budget with a full reserve.
     *
     * @param fraction the retries that each first attempt allows
     * @param reserve the largest number of retries that can be saved
     */
    public static RetryBudget create(double fraction, double reserve) {
        return new RetryBudget(fraction, reserve);
    }

    /** Returns the usual budget: a tenth of the first attempts and ten saved retries. */
    public static RetryBudget defaults() {
        return create(0.1, 10);
    }

    /** Notes a first attempt. */
    public synchronized void onFirstAttempt() {
        balance = Math.min(reserve, balance + fraction);
    }

    /** Takes one retry from the budget and returns whether it is allowed. */
    public synchronized boolean tryRetry() {
        if (balance < 1) {
            return false;
        }
        balance -= 1;
        return true;
    }
}
