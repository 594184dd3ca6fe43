package org.verbenatray.relay;

import org.verbenatray.backends.Backend;
import org.verbenatray.time.Deadline;
import org.xnio.XnioIoThread;

/**
 * Watches whether the server of one attempt makes progress in time, and decides whether a silent one is awaited
 * further. Used on one thread.
 */
final class SilenceWatch {
    /** Number of queued requests from which on an engine counts as busy. */
    private static final int BUSY_QUEUE_LENGTH = 2;

    /** Time after which a silent server that is awaited further is looked at again. */
    private static final long RECHECK_MILLIS = 100;

    /** Age beyond which a load report is ignored. */
    private static final long MAX_LOAD_AGE_MILLIS = 2_500;

    private final RelayContext context;
    private final RelayCall call;
    private final Backend backend;
    private final ResponseTimeouts timeouts;
    private final WatchedAttempt attempt;

    /** Timer of the next check. */
    private XnioIoThread.Key timer;

    /** When the next bytes of the response are due. */
    private Deadline progressDeadline;

    private SilenceWatch(
            RelayContext context, RelayCall call, Backend backend, ResponseTimeouts timeouts, WatchedAttempt attempt) {
        this.context = context;
        this.call = call;
        this.backend = backend;
        this.timeouts = timeouts;
        this.attempt = attempt;
        this.progressDeadline = timeouts.firstByteDeadline();
    }

    /** Starts to watch the server of an attempt that is about to be sent. */
    static SilenceWatch start(
            RelayContext context, RelayCall call, Backend backend, ResponseTimeouts timeouts, WatchedAttempt attempt) {
        SilenceWatch watch = new SilenceWatch(context, call, backend, timeouts, attempt);
        watch.scheduleCheck();
        return watch;
    }

    /** Records that bytes of the response have arrived, or are read again. */
    void recordProgress() {
        progressDeadline = timeouts.nextByteDeadline(context.ticker().nanos());
    }

    /** Ends the watch; the server is not reported as silent any more. */
    void stop() {
        timer.remove();
    }

    /** Schedules a check shortly after the progress deadline. */
    private void scheduleCheck() {
        long wait = progressDeadline.remainingMillis(context.ticker().nanos()) + 1;
        timer = context.transport()
                .silenceTimers()
                .schedule(context.thread(), call.guard().wrap(this::check), wait);
    }

    /** Reports a server that has made no progress in time, unless it is awaited further. */
    private void check() {
        long now = context.ticker().nanos();
        if (progressDeadline.hasPassed(now)) {
            if (!endsAtDeadline() && !isAwaited()) {
                attempt.onSilent();
                return;
            }
            progressDeadline = Deadline.afterMillis(now, RECHECK_MILLIS);
        }
        scheduleCheck();
    }

    /**
     * Returns whether the call is about to end at its deadline, which cancels the attempt: that the response is
     * incomplete then is no sign of a silent server.
     */
    private boolean endsAtDeadline() {
        return call.times().deadlinePassed() && !call.finished();
    }

    /**
     * Returns whether a silent server is awaited further: its response is not read for want of memory, it is still
     * being connected to, for which there is a timeout of its own, it is busy, or the request cannot be moved.
     */
    private boolean isAwaited() {
        if (attempt.awaitsMemory()) {
            return true;
        }
        if (timeouts.expired(context.ticker().nanos())) {
            return false;
        }
        return !attempt.sendingStarted() || isBusy() || !attempt.reserveMove();
    }

    /** Returns whether the server reports queued requests: its silence is then no sign of a failure. */
    private boolean isBusy() {
        return backend.load(context.ticker().nanos(), MAX_LOAD_AGE_MILLIS)
                .map(load -> load.waitingRequests() >= BUSY_QUEUE_LENGTH)
                .orElse(false);
    }

    /** The attempt whose server is watched. */
    interface WatchedAttempt {
        /** Returns whether the response is not read on because there is no memory for it. */
        boolean awaitsMemory();

        /** Returns whether the server may have received the request. */
        boolean sendingStarted();

        /** Returns whether the request can be moved to another server, and reserves a retry for it. */
        boolean reserveMove();

        /** Called once, when the server has made no progress in time. */
        void onSilent();
    }
}
