package org.verbenatray.serving;

import java.util.concurrent.TimeUnit;
import org.verbenatray.servers.Cancellation;
import org.verbenatray.time.Deadline;
import org.verbenatray.time.Ticker;
import org.xnio.XnioIoThread;

/** Schedules actions on the I/O thread of a request. */
@FunctionalInterface
public interface StreamRelayTimers {
    /** Runs the action on the given thread at the deadline, unless it is cancelled before. */
    Cancellation at(XnioIoThread thread, Deadline deadline, Runnable action);

    /** Returns timers that use the scheduler of each I/O thread. */
    static StreamRelayTimers onThreads(Ticker ticker) {
        return (thread, deadline, action) -> {
            long delayNanos = Math.max(0, deadline.atNanos() - ticker.nanos());
            XnioIoThread.Key key = thread.executeAfter(action, delayNanos, TimeUnit.NANOSECONDS);
            return key::remove;
        };
    }
}
