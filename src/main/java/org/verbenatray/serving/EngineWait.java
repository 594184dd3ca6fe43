package org.verbenatray.serving;

import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.verbenatray.time.Deadline;

/**
 * Limits how long a request that may have run waits for an available engine: a response that has begun waits as long as
 * an engine is due back, any other request for a fixed time. Not thread-safe.
 */
final class EngineWait {
    /** How long a request waits although it has not begun or no engine is due back, in milliseconds. */
    private static final long MAX_WAIT_MILLIS = 5_000;

    /** The interval between attempts to choose an engine until then, in milliseconds. */
    private static final long RETRY_MILLIS = 50;

    /** The interval between attempts after that, in milliseconds; engines are polled as often. */
    private static final long LATE_RETRY_MILLIS = 500;

    /** The end of the fixed time, empty while the request does not wait. */
    private Optional<Deadline> fixedEnd = Optional.empty();

    /**
     * Returns the time of the next attempt to choose an engine, empty if the wait is over; the first call starts the
     * wait.
     *
     * @param begun whether tokens of the response were relayed
     * @param engineDueBack tells whether an engine that serves the model may become available again
     */
    Optional<Deadline> nextAttempt(boolean begun, BooleanSupplier engineDueBack, long nowNanos) {
        if (fixedEnd.isEmpty()) {
            fixedEnd = Optional.of(Deadline.afterMillis(nowNanos, MAX_WAIT_MILLIS));
        }
        if (!fixedEnd.get().hasPassed(nowNanos)) {
            return Optional.of(Deadline.afterMillis(nowNanos, RETRY_MILLIS));
        }
        return begun && engineDueBack.getAsBoolean()
                ? Optional.of(Deadline.afterMillis(nowNanos, LATE_RETRY_MILLIS))
                : Optional.empty();
    }

    /** Ends the wait, because the request found an engine. */
    void end() {
        fixedEnd = Optional.empty();
    }
}
