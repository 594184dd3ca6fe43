package org.verbenatray.peers;

/** Token bucket that limits bytes per second. Not thread-safe. */
final class ByteBudget {
    private static final double NANOS_PER_SECOND = 1e9;

    /** Unused budget accumulates for at most this many seconds. */
    private static final int MAX_BURST_SECONDS = 2;

    private double bytesPerSecond;

    /** The bytes that may be sent now; negative after a frame larger than the remaining budget was sent. */
    private double availableBytes;

    /** The time of the last refill. */
    private long refilledNanos;

    private ByteBudget(double bytesPerSecond, long nowNanos) {
        this.bytesPerSecond = bytesPerSecond;
        this.availableBytes = bytesPerSecond * MAX_BURST_SECONDS;
        this.refilledNanos = nowNanos;
    }

    /** Returns a full bucket that is refilled at the given rate. */
    static ByteBudget create(double bytesPerSecond, long nowNanos) {
        return new ByteBudget(bytesPerSecond, nowNanos);
    }

    /** Refills the bucket and returns whether a frame may be sent, given the largest permitted debt in bytes. */
    boolean canSpend(long debtBytes, long nowNanos) {
        refill(nowNanos);
        return availableBytes > -debtBytes;
    }

    /** Changes the refill rate; bytes accumulated until now are kept. */
    void changeRate(double newBytesPerSecond, long nowNanos) {
        refill(nowNanos);
        bytesPerSecond = newBytesPerSecond;
    }

    /** Deducts sent bytes; the balance may become negative. */
    void spend(long bytes) {
        availableBytes -= bytes;
    }

    private void refill(long nowNanos) {
        double seconds = Math.max(0, nowNanos - refilledNanos) / NANOS_PER_SECOND;
        availableBytes = Math.min(bytesPerSecond * MAX_BURST_SECONDS, availableBytes + seconds * bytesPerSecond);
        refilledNanos = nowNanos;
    }
}
