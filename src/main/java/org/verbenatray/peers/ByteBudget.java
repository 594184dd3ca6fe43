package org.verbenatray.peers;

/** A token bucket over bytes. Not thread-safe. */
final class ByteBudget {
    /** Nanoseconds in one second. */
    private static final double NANOS_PER_SECOND = 1e9;

    /** The seconds of unused budget that may be kept. */
    private static final int BURST_SECONDS = 2;

    /** The refill in bytes per second. */
    private double bytesPerSecond;

    /** The bytes that may be sent now; negative while a large frame is being paid off. */
    private double available;

    /** The time up to which the budget was refilled. */
    private long refilledNanos;

    /** Creates a full bucket. */
    private ByteBudget(double bytesPerSecond, long nowNanos) {
        this.bytesPerSecond = bytesPerSecond;
        this.available = bytesPerSecond * BURST_SECONDS;
        this.refilledNanos = nowNanos;
    }

    /** Returns a full bucket. */
    static ByteBudget create(double bytesPerSecond, long nowNanos) {
        return new ByteBudget(bytesPerSecond, nowNanos);
    }

    /** Returns whether anything may be sent while at most the given debt in bytes stands. */
    boolean allows(long debtBytes, long nowNanos) {
        refill(nowNanos);
        return available > -debtBytes;
    }

    /** Changes the refill. */
    void changeRate(double newBytesPerSecond, long nowNanos) {
        refill(nowNanos);
        bytesPerSecond = newBytesPerSecond;
    }

    /** Pays for sent bytes. */
    void spend(long bytes) {
        available -= bytes;
    }

    /** Adds what the time since the last refill brought. */
    private void refill(long nowNanos) {
        double seconds = Math.max(0, nowNanos - refilledNanos) / NANOS_PER_SECOND;
        available = Math.min(bytesPerSecond * BURST_SECONDS, available + seconds * bytesPerSecond);
        refilledNanos = nowNanos;
    }
}
