package org.verbenatray.relay;

import java.util.function.BooleanSupplier;
import org.verbenatray.time.Deadline;

/**
 * Tells when a caller's connection has to be closed because the caller takes too long: over a head, inside a body, idle
 * between requests, or not reading a response. While a request that was read whole is open and nothing waits to be
 * written, the caller has no time limit.
 *
 * <p>Times are monotonic. Used on one thread.
 */
final class CallerPace {
    private final CallerPatience patience;

    private Phase phase = Phase.IDLE;

    /** When the phase began; in a body, when its last bytes were read. In nanoseconds of the ticker. */
    private long sinceNanos;

    /** Whether the request was read whole. */
    private BooleanSupplier readWhole = () -> false;

    /** Since when the caller has taken no byte of a response that waits to be written; null if none waits. */
    private Long blockedNanos;

    /** Whether the last check found the caller late. */
    private boolean late;

    private CallerPace(CallerPatience patience, long nowNanos) {
        this.patience = patience;
        this.sinceNanos = nowNanos;
    }

    /** Creates the pace of a caller that has connected at the given time. */
    static CallerPace connectedAt(CallerPatience patience, long nowNanos) {
        return new CallerPace(patience, nowNanos);
    }

    /** Records that bytes of the caller were read. */
    void bytesRead(long nowNanos) {
        late = false;
        if (phase == Phase.IDLE) {
            begin(Phase.HEAD, nowNanos);
        } else if (phase == Phase.REQUEST) {
            sinceNanos = nowNanos;
        }
    }

    /** Records that a head was read whole, and takes the way to ask whether the whole request was. */
    void headRead(long nowNanos, BooleanSupplier requestReadWhole) {
        readWhole = requestReadWhole;
        begin(Phase.REQUEST, nowNanos);
    }

    /** Records that the response is complete, so that the next request may begin. */
    void responseEnded(long nowNanos) {
        begin(Phase.IDLE, nowNanos);
    }

    /** Records that the connection has accepted some bytes of a response, and whether others wait. */
    void bytesWritten(boolean some, boolean othersWait, long nowNanos) {
        if (!othersWait) {
            blockedNanos = null;
        } else if (some || blockedNanos == null) {
            blockedNanos = nowNanos;
            late = false;
        }
    }

    /** Returns whether bytes of a response wait for the caller to read. */
    boolean blocksResponse() {
        return blockedNanos != null;
    }

    /** Returns whether the caller has begun a head that is not whole. */
    boolean insideHead() {
        return phase == Phase.HEAD;
    }

    /** Returns whether a request is open. */
    boolean insideRequest() {
        return phase == Phase.REQUEST;
    }

    /**
     * Returns whether the connection has to be closed: the caller is late now and was so at the check before, and none
     * of its bytes were read in between. A single check proves nothing after a pause of this process, since bytes that
     * arrived in time may not be read yet.
     */
    boolean isOverdue(long nowNanos) {
        boolean wasLate = late;
        late = isLate(nowNanos);
        return late && wasLate;
    }

    private boolean isLate(long nowNanos) {
        if (phase == Phase.REQUEST && readWhole.getAsBoolean()) {
            return blockedNanos != null
                    && Deadline.afterMillis(blockedNanos, patience.idleMillis(blockedNanos))
                            .hasPassed(nowNanos);
        }
        long limitMillis = phase == Phase.HEAD ? patience.headMillis(sinceNanos) : patience.idleMillis(sinceNanos);
        return Deadline.afterMillis(sinceNanos, limitMillis).hasPassed(nowNanos);
    }

    private void begin(Phase next, long nowNanos) {
        blockedNanos = null;
        phase = next;
        sinceNanos = nowNanos;
        late = false;
    }

    /** What is awaited of the caller. */
    private enum Phase {
        /** The first byte of a request. */
        IDLE,
        /** The rest of a head. */
        HEAD,
        /** The rest of a body, or nothing if there is none. */
        REQUEST
    }
}
