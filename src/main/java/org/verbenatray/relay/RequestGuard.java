package org.verbenatray.relay;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.nio.ByteBuffer;
import java.util.Arrays;
import org.verbenatray.servers.ResponseHead;
import org.verbenatray.servers.ResponseListener;
import org.verbenatray.servers.ServerFailure;
import org.verbenatray.telemetry.Event;

/**
 * Runs the steps of one request of a caller: its tasks, timers and listeners. The I/O thread drops the exception of a
 * step, which would leave the caller without an answer; the guard logs it and ends the request. Used on one thread.
 */
final class RequestGuard {
    private static final String OWN_PACKAGES = "org.verbenatray.";

    private static final Logger log = System.getLogger(RequestGuard.class.getName());

    /** The id of the request, empty while it is unknown. */
    private String requestId = "";

    /** Ends the request after an exception, if it has not ended. */
    private Runnable ending;

    private RequestGuard(Runnable ending) {
        this.ending = ending;
    }

    /** Returns a guard that ends a request without a known id by the given task. */
    static RequestGuard create(Runnable ending) {
        return new RequestGuard(ending);
    }

    /** Replaces the task that ends the request. */
    void setEnding(Runnable newEnding) {
        ending = newEnding;
    }

    /** Sets the id that exceptions are logged with. */
    void setRequestId(String id) {
        requestId = id;
    }

    /** Runs a step; after an exception logs it and ends the request. */
    void run(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException e) {
            logFailure(e);
            end();
        }
    }

    /** Returns a task that runs a step. */
    Runnable wrap(Runnable step) {
        return () -> run(step);
    }

    /** Returns a listener whose calls are steps. */
    ForwardListener wrap(ForwardListener listener) {
        return new GuardedForwardListener(listener);
    }

    /** Returns a listener whose calls are steps. */
    ResponseListener wrap(ResponseListener listener) {
        return new GuardedResponseListener(listener);
    }

    private void end() {
        try {
            ending.run();
        } catch (RuntimeException e) {
            logFailure(e);
        }
    }

    private void logFailure(RuntimeException e) {
        Event.named("request_failed")
                .with("id", requestId)
                .with("kind", e.getClass().getSimpleName())
                .with("why", e.getMessage())
                .with("at", origin(e))
                .log(log, Level.ERROR);
    }

    /** Returns the topmost frame of this program in the stack trace, or its topmost frame if there is none. */
    private static String origin(RuntimeException e) {
        StackTraceElement[] frames = e.getStackTrace();
        return Arrays.stream(frames)
                .filter(frame -> frame.getClassName().startsWith(OWN_PACKAGES))
                .findFirst()
                .or(() -> Arrays.stream(frames).findFirst())
                .map(frame -> frame.getFileName() + ":" + frame.getLineNumber())
                .orElse("");
    }

    /** Passes the calls on as steps. */
    private final class GuardedForwardListener implements ForwardListener {
        private final ForwardListener listener;

        GuardedForwardListener(ForwardListener listener) {
            this.listener = listener;
        }

        @Override
        public boolean acceptsEvents() {
            return listener.acceptsEvents();
        }

        @Override
        public boolean accepts(StreamEvent event) {
            return listener.accepts(event);
        }

        @Override
        public int keptBytes() {
            return listener.keptBytes();
        }

        @Override
        public void onEvent(ServerResponseHead head, StreamEvent event) {
            run(() -> listener.onEvent(head, event));
        }

        @Override
        public void onEventsRead() {
            run(listener::onEventsRead);
        }

        @Override
        public boolean reserveMoveFromSilentServer() {
            return listener.reserveMoveFromSilentServer();
        }

        @Override
        public void onOutcome(ForwardOutcome outcome) {
            run(() -> listener.onOutcome(outcome));
        }
    }

    /** Passes the calls on as steps. */
    private final class GuardedResponseListener implements ResponseListener {
        private final ResponseListener listener;

        GuardedResponseListener(ResponseListener listener) {
            this.listener = listener;
        }

        @Override
        public void onSending() {
            run(listener::onSending);
        }

        @Override
        public void onHead(ResponseHead head) {
            run(() -> listener.onHead(head));
        }

        @Override
        public boolean readsOn(Runnable resume) {
            return listener.readsOn(resume);
        }

        @Override
        public void onBody(ByteBuffer part) {
            run(() -> listener.onBody(part));
        }

        @Override
        public void onEnd() {
            run(listener::onEnd);
        }

        @Override
        public void onFailure(ServerFailure failure) {
            run(() -> listener.onFailure(failure));
        }
    }
}
