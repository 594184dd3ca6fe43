package org.verbenatray.relay;

import java.util.function.Consumer;
import org.verbenatray.servers.BufferedResponse;
import org.verbenatray.servers.HttpCall;
import org.verbenatray.servers.HttpTransport;
import org.verbenatray.time.Deadline;
import org.xnio.XnioIoThread;

/**
 * One request of a poll. If no response has arrived in time, its engine counts as unreachable, but the request goes on:
 * to close its connection and to open another one would make an engine that is slow slower still. Used on one thread.
 */
final class PollRequest {
    /** The time after which the connection of a request without a response is closed, in milliseconds. */
    static final long RESPONSE_TIMEOUT_MILLIS = 2_000;

    /** The time after which an engine without a response counts as unreachable, in milliseconds. */
    private static final long LATE_MILLIS = 500;

    private static final int MAX_RESPONSE_BYTES = 256 * 1024;

    /** Whether the response was late. */
    private boolean late;

    private PollRequest() {}

    /** Sends a request. The listener is called on the thread. */
    static void send(HttpTransport transport, XnioIoThread thread, HttpCall call, Listener listener) {
        PollRequest request = new PollRequest();
        Deadline deadline = Deadline.afterMillis(transport.ticker().nanos(), RESPONSE_TIMEOUT_MILLIS);
        XnioIoThread.Key timer =
                transport.silenceTimers().schedule(thread, () -> request.tellLate(listener), LATE_MILLIS);
        transport.call(call, thread, deadline, MAX_RESPONSE_BYTES).whenComplete((response, failure) -> {
            timer.remove();
            if (failure == null) {
                listener.onResponse().accept(response);
            } else {
                listener.onFailure().onFailure(failure, request.late);
            }
        });
    }

    private void tellLate(Listener listener) {
        late = true;
        listener.onLate().run();
    }

    /**
     * Receives what becomes of a request.
     *
     * @param onLate called when no response has arrived in time; one of the others follows
     * @param onResponse receives the response, of whatever status
     * @param onFailure receives the failure if there is no response
     */
    record Listener(Runnable onLate, Consumer<BufferedResponse> onResponse, FailureListener onFailure) {}

    /** Receives the failure of a request. */
    @FunctionalInterface
    interface FailureListener {
        /**
         * Called when there is no response.
         *
         * @param failure the failure
         * @param late whether the request had been reported as late
         */
        void onFailure(Throwable failure, boolean late);
    }
}
