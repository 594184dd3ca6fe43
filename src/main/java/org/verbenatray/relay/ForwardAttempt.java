package org.verbenatray.relay;

import java.nio.ByteBuffer;
import java.util.Optional;
import org.verbenatray.backends.Backend;
import org.verbenatray.backends.PrefillWork;
import org.verbenatray.servers.Cancellation;
import org.verbenatray.servers.HttpCall;
import org.verbenatray.servers.ResponseHead;
import org.verbenatray.servers.ResponseListener;
import org.verbenatray.servers.ServerFailure;

/**
 * One attempt to forward a request to one backend server. Validates the response and keeps the open-work counts of the
 * server. Used on one thread.
 */
final class ForwardAttempt implements ResponseListener, RunningAttempt, SilenceWatch.WatchedAttempt {
    private final RelayContext context;
    private final RelayCall call;
    private final ForwardOptions options;

    /** The prefill work that this attempt adds to the server. */
    private final PrefillWork work;

    private final ForwardListener listener;

    /** Body of a response that is not a stream, and the bytes of an event that is not complete. */
    private final ResponseBuffer buffer;

    private final EventSplitter splitter = new EventSplitter();

    private final RunEvidence evidence;

    private Cancellation cancellation = () -> {};

    /** Null before the request is sent. */
    private SilenceWatch silenceWatch;

    /** Head of the response; null before it arrives. */
    private ServerResponseHead head;

    /** Whether the response ends with its connection, so that the end of the server looks like its end. */
    private boolean endsWithConnection;

    /** Whether the caller had received events of an earlier attempt when this one began. */
    private final boolean sendsRest;

    /** Whether an event of the stream has arrived; if the stream may go on elsewhere, one with an id. */
    private boolean eventArrived;

    /** Whether writing the request has started, so that the server may have received it. */
    private boolean sendingStarted;

    /** Whether the prefill work was already removed from the counts of the server. */
    private boolean promptProcessed;

    /** Whether the outcome was reported or the attempt cancelled. */
    private boolean closed;

    private ForwardAttempt(
            RelayContext context, RelayCall call, ForwardOptions options, PrefillWork work, ForwardListener listener) {
        this.context = context;
        this.call = call;
        this.options = options;
        this.work = work;
        this.listener = listener;
        this.sendsRest = call.response().started();
        this.evidence = RunEvidence.start(context, call, options);
        int maxBodyBytes =
                options.prefillOnly() ? ResponseLimits.MAX_PREFILL_BODY_BYTES : ResponseLimits.MAX_BODY_BYTES;
        this.buffer = ResponseBuffer.open(
                context.transport().memory(),
                maxBodyBytes,
                () -> context.thread()
                        .execute(call.guard()
                                .wrap(() -> rejectResponse("the response is the largest one and no memory is left"))));
    }

    /** Sends a request to the server named in the options and starts the timeouts. */
    static ForwardAttempt send(
            RelayContext context,
            RelayCall call,
            ForwardOptions options,
            PrefillWork work,
            ResponseTimeouts timeouts,
            ForwardListener listener) {
        ForwardAttempt attempt = new ForwardAttempt(context, call, options, work, listener);
        HttpCall forward = context.dialect().forward(call.request(), options);
        attempt.silenceWatch = SilenceWatch.start(context, call, options.backend(), timeouts, attempt);
        options.backend().addRequest(work);
        context.onWorkChanged().accept(options.backend());
        attempt.cancellation = context.transport()
                .exchange(forward, context.thread(), call.guard().wrap(attempt));
        return attempt;
    }

    /** Returns the server that the request is sent to. */
    Backend backend() {
        return options.backend();
    }

    @Override
    public boolean sendingStarted() {
        return sendingStarted;
    }

    @Override
    public boolean prefillOnly() {
        return options.prefillOnly();
    }

    @Override
    public String receiver() {
        return CallRecord.nameOf(options.backend().entry());
    }

    @Override
    public void cancel() {
        if (!closed) {
            call.recordCancelled(this);
            close();
            cancellation.cancel();
            evidence.recordAbandoned();
        }
    }

    /** Records that the response is not complete at the deadline of a request that runs to its end all the same. */
    void recordOverdue() {
        if (!closed) {
            evidence.recordAbandoned();
        }
    }

    @Override
    public void onSending() {
        call.response().checkCaller();
        if (closed) {
            return;
        }
        sendingStarted = true;
        call.recordSending();
        evidence.recordSending();
    }

    @Override
    public void onHead(ResponseHead responseHead) {
        head = context.dialect().parseHead(call.request(), responseHead);
        endsWithConnection = responseHead.endsWithConnection();
        buffer.recordHead(responseHead);
        recordProgress();
        options.backend().recordAnswer(context.ticker().nanos());
        context.statements().recordAnswer(options.backend(), head);
        if (!head.matchesRequestId()) {
            rejectResponse("the response carries the id of another request");
        } else if (head.status() < 300 && !head.authentic() && !options.prefillOnly()) {
            rejectResponse("the response was not produced by the server itself");
        }
    }

    @Override
    public boolean readsOn(Runnable resume) {
        if (closed || head == null || deliversEvents()) {
            return true;
        }
        return buffer.hasRoom(() -> {
            recordProgress();
            resume.run();
        });
    }

    @Override
    public void onBody(ByteBuffer piece) {
        if (closed || head == null) {
            return;
        }
        recordProgress();
        if (deliversEvents()) {
            splitter.feed(piece, this::handleEvent);
            listener.onEventsRead();
            if (!closed) {
                buffer.setEventBytes(splitter.partialBytes() + listener.keptBytes());
            }
            if (splitter.partialBytes() > ResponseLimits.MAX_EVENT_BYTES) {
                rejectResponse("an event is larger than " + ResponseLimits.MAX_EVENT_BYTES + " bytes");
            }
            return;
        }
        if (!buffer.add(piece)) {
            rejectResponse("the response is larger than allowed");
        }
    }

    private void handleEvent(StreamEvent event) {
        if (closed) {
            return;
        }
        if (!listener.accepts(event)) {
            rejectResponse("an event does not follow those before");
            return;
        }
        eventArrived |= !call.route().repeatable() || event.id().isPresent();
        evidence.recordEvent();
        recordPromptProcessed();
        listener.onEvent(head, event);
    }

    @Override
    public void onEnd() {
        if (closed) {
            return;
        }
        if (head == null) {
            finish(ForwardOutcome.Kind.BROKEN, "the head of the response cannot be used");
        } else if (deliversEvents() && splitter.isInsideEvent()) {
            finish(ForwardOutcome.Kind.BROKEN, "the stream ended inside an event");
        } else if (isEmptyRest()) {
            finish(ForwardOutcome.Kind.EMPTY_REST, "nothing of the rest of the stream");
        } else if (deliversEvents() && endsWithConnection && !eventArrived && !continuesStream()) {
            finish(ForwardOutcome.Kind.BROKEN, "the connection ended before the first event");
        } else if (deliversEvents() && !eventArrived && sendsRest) {
            finish(ForwardOutcome.Kind.BROKEN, "the rest of a stream without an event");
        } else if (deliversEvents()) {
            finish(ForwardOutcome.Kind.STREAM_ENDED, "ended");
        } else {
            finish(head.notRun() ? ForwardOutcome.Kind.NOT_RUN : ForwardOutcome.Kind.ANSWERED, "status");
        }
    }

    /** Returns whether the response is a success that holds no event of the rest that the server was asked for. */
    private boolean isEmptyRest() {
        boolean empty = deliversEvents() ? !eventArrived : buffer.isEmpty();
        return empty
                && continuesStream()
                && head.status() < 300
                && call.route().repeatable()
                && listener.acceptsEvents();
    }

    @Override
    public void onFailure(ServerFailure failure) {
        finish(kindOf(failure), failure.getMessage());
    }

    private ForwardOutcome.Kind kindOf(ServerFailure failure) {
        if (sendingStarted) {
            return ForwardOutcome.Kind.BROKEN;
        }
        return switch (failure.kind()) {
            case NOT_CONNECTED -> ForwardOutcome.Kind.NOT_SENT;
            case NOT_ADMITTED -> ForwardOutcome.Kind.NOT_ADMITTED;
            default -> ForwardOutcome.Kind.BROKEN;
        };
    }

    /** Returns whether the response is delivered event by event. */
    private boolean deliversEvents() {
        return head.eventStream() && listener.acceptsEvents();
    }

    /** Ends the attempt because the response is not usable. */
    private void rejectResponse(String reason) {
        cancellation.cancel();
        finish(ForwardOutcome.Kind.BROKEN, reason);
    }

    /** Reports the outcome, once. A complete body passes from this attempt to the caller's response. */
    private void finish(ForwardOutcome.Kind kind, String detail) {
        if (!closed) {
            context.transport().memory().changeTogether(() -> report(kind, detail));
        }
    }

    private void report(ForwardOutcome.Kind kind, String detail) {
        boolean complete = kind == ForwardOutcome.Kind.ANSWERED || kind == ForwardOutcome.Kind.NOT_RUN;
        byte[] bytes = complete ? buffer.take() : new byte[0];
        close();
        recordEvidence(kind);
        boolean proved = !endsWithConnection && !continuesStream();
        listener.onOutcome(new ForwardOutcome(kind, detail, Optional.ofNullable(head), bytes, proved));
    }

    private void recordEvidence(ForwardOutcome.Kind kind) {
        switch (kind) {
            case NOT_SENT, NOT_ADMITTED -> {}
            case NOT_RUN -> evidence.recordAlive();
            case BROKEN, SILENT -> evidence.recordLost();
            case EMPTY_REST -> {
                if (endsWithConnection) {
                    evidence.recordUnproved(false);
                } else {
                    evidence.recordAlive();
                }
            }
            case ANSWERED, STREAM_ENDED -> {
                if (endsWithConnection) {
                    evidence.recordUnproved(head.status() < 300 && !continuesStream());
                } else {
                    evidence.recordCompleted();
                }
            }
        }
    }

    private boolean continuesStream() {
        return options.lastEventId().isPresent();
    }

    /** Updates the open-work counts of the server and stops the timer. */
    private void close() {
        closed = true;
        buffer.close();
        recordPromptProcessed();
        options.backend().removeRequest();
        context.onWorkChanged().accept(options.backend());
        silenceWatch.stop();
        evidence.close();
    }

    /** Removes the prefill work from the counts of the server, once. */
    private void recordPromptProcessed() {
        if (!promptProcessed) {
            promptProcessed = true;
            options.backend().removePrefillWork(work);
            context.onWorkChanged().accept(options.backend());
        }
    }

    /** Extends the progress deadline. */
    private void recordProgress() {
        silenceWatch.recordProgress();
        evidence.recordProgress();
    }

    @Override
    public boolean awaitsMemory() {
        return buffer.isWaiting();
    }

    @Override
    public boolean reserveMove() {
        return listener.reserveMoveFromSilentServer();
    }

    /** Ends the attempt, as its server has made no progress in time. */
    @Override
    public void onSilent() {
        cancellation.cancel();
        context.transport().closeIdleConnections(options.backend().entry().bootId());
        finish(sendingStarted ? ForwardOutcome.Kind.SILENT : ForwardOutcome.Kind.NOT_SENT, "no progress in time");
    }
}
