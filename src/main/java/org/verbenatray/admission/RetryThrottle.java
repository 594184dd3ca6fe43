package org.verbenatray.admission;

/**
 * Limits the retries of this instance to a fraction of its first attempts. In any period with N first attempts there
 * are at most {@code retriesPerFirstAttempt * N + maxBalance} retries. Thread-safe.
 */
public final class RetryThrottle {
    private final double retriesPerFirstAttempt;

    private final double maxBalance;

    private double balance;

    private RetryThrottle(double retriesPerFirstAttempt, double maxBalance) {
        this.retriesPerFirstAttempt = retriesPerFirstAttempt;
        this.maxBalance = maxBalance;
        this.balance = maxBalance;
    }

    /**
     * Returns a throttle with a full balance.
     *
     * @param retriesPerFirstAttempt the retries that each first attempt allows
     * @param maxBalance the largest number of unused retries that are kept
     */
    public static RetryThrottle create(double retriesPerFirstAttempt, double maxBalance) {
        return new RetryThrottle(retriesPerFirstAttempt, maxBalance);
    }

    /** Returns the default throttle: a tenth of the first attempts, and up to ten unused retries. */
    public static RetryThrottle defaults() {
        return create(0.1, 10);
    }

    /** Records a first attempt. */
    public synchronized void recordFirstAttempt() {
        balance = Math.min(maxBalance, balance + retriesPerFirstAttempt);
    }

    /** Takes one retry from the balance and returns whether it is allowed. */
    public synchronized boolean tryAcquire() {
        if (balance < 1) {
            return false;
        }
        balance -= 1;
        return true;
    }
}
