package org.verbenatray.relay;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.verbenatray.backends.Backend;
import org.verbenatray.backends.PromptWork;
import org.verbenatray.servers.Cancellation;
import org.verbenatray.servers.ReplyHead;
import org.verbenatray.servers.ReplyListener;
import org.verbenatray.servers.ServerFailure;
import org.verbenatray.time.Deadline;
import org.xnio.XnioIoThread;

/** One sending of a request to one backend server; used on one thread. */
final class Forward implements ReplyListener {
    /** The largest answer that is no stream, in bytes. */
    private static final int MAX_BODY_BYTES = 16 * 1024 * 1024;

    /** The requests that wait at a busy engine. */
    private static final int BUSY_WAITING = 2;

    /** The age in milliseconds beyond which a stated load tells nothing. */
    private static final long MAX_LOAD_AGE_MILLIS = 2_500;

    /** What the relay works with. */
    private final RelayParts parts;

    /** The request. */
    private final RelayRequest request;

    /** How it is sent. */
    private final Forwarding how;

    /** The processing of the prompt that the server has before it. */
    private final PromptWork work;

    /** The bounds on silence. */
    private final Patience patience;

    /** Hears how it goes. */
    private final ForwardListener listener;

    /** The body of an answer that is no stream. */
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();

    /** The events of a stream. */
    private final EventSplitter splitter = new EventSplitter();

    /** Ends the exchange. */
    private Cancellation cancellation = () -> {};

    /** The timer that watches for silence. */
    private XnioIoThread.Key timer;

    /** When silence becomes too long. */
    private Deadline silentAt;

    /** The head of the answer, null before it came. */
    private ServerHead head;

    /** Whether the request may have reached the server. */
    private boolean sent;

    /** Whether the prompt counts as processed. */
    private boolean processed;

    /** Whether the outcome was told. */
    private boolean over;

    /** Creates a sending. */
    private Forward(
            RelayParts parts,
            RelayRequest request,
            Forwarding how,
            PromptWork work,
            Patience patience,
            ForwardListener listener) {
        this.parts = parts;
        this.request = request;
        this.how = how;
        this.work = work;
        this.patience = patience;
        this.listener = listener;
    }

    /** Sends a request. */
    static Forward send(
            RelayParts parts,
            RelayRequest request,
            Forwarding how,
            PromptWork work,
            Patience patience,
            ForwardListener listener) {
        Forward forward = new Forward(parts, request, how, work, patience, listener);
        forward.silentAt = patience.first();
        forward.watch();
        how.backend().opened(work);
        parts.workChanged().accept(how.backend());
        forward.cancellation =
                parts.transport().exchange(parts.dialect().forward(request, how), parts.thread(), forward);
        return forward;
    }

    /** Returns the server. */
    Backend backend() {
        return how.backend();
    }

    /** Returns whether the request may have reached the server. */
    boolean sent() {
        return sent;
    }

    /** Ends the sending without an outcome; a request that was not sent yet never will be. */
    void cancel() {
        if (!over) {
            close();
            cancellation.cancel();
        }
    }

    @Override
    public void onSending() {
        sent = true;
    }

    @Override
    public void onHead(ReplyHead reply) {
        head = parts.dialect().head(request, reply);
        progress();
        if (!head.answersId()) {
            spoiled("the answer bears another request's id");
        } else if (head.status() < 300 && !head.genuine() && !how.prefillOnly()) {
            spoiled("the answer is not the server's own");
        }
    }

    @Override
    public void onBody(ByteBuffer piece) {
        if (over) {
            return;
        }
        progress();
        if (isStream()) {
            splitter.feed(piece, event -> {
                if (!over) {
                    processed();
                    listener.onEvent(head, event);
                }
            });
            return;
        }
        if (body.size() + piece.remaining() > MAX_BODY_BYTES) {
            spoiled("the answer is larger than " + MAX_BODY_BYTES + " bytes");
            return;
        }
        byte[] bytes = new byte[piece.remaining()];
        piece.get(bytes);
        body.writeBytes(bytes);
    }

    @Override
    public void onEnd() {
        if (over) {
            return;
        }
        if (isStream() && splitter.isInsideEvent()) {
            finish(ForwardOutcome.Kind.BROKEN, "the stream ended inside an event");
        } else if (isStream()) {
            finish(ForwardOutcome.Kind.STREAM_ENDED, "ended");
        } else {
            finish(head.notRun() ? ForwardOutcome.Kind.NOT_RUN : ForwardOutcome.Kind.ANSWERED, "status");
        }
    }

    @Override
    public void onFailure(ServerFailure failure) {
        boolean unsent = failure.kind() == ServerFailure.Kind.NOT_CONNECTED && !sent;
        finish(unsent ? ForwardOutcome.Kind.NOT_SENT : ForwardOutcome.Kind.BROKEN, failure.getMessage());
    }

    /** Returns whether the answer is passed on event by event. */
    private boolean isStream() {
        return head.stream() && listener.takesEvents();
    }

    /** Ends the sending because the answer can't be used. */
    private void spoiled(String why) {
        cancellation.cancel();
        finish(ForwardOutcome.Kind.BROKEN, why);
    }

    /** Tells the outcome. */
    private void finish(ForwardOutcome.Kind kind, String detail) {
        if (over) {
            return;
        }
        close();
        listener.onOutcome(new ForwardOutcome(kind, detail, Optional.ofNullable(head), body.toByteArray()));
    }

    /** Stops the accounts of this sending. */
    private void close() {
        over = true;
        processed();
        how.backend().closed();
        parts.workChanged().accept(how.backend());
        if (timer != null) {
            timer.remove();
        }
    }

    /** Notes once that the prompt was processed. */
    private void processed() {
        if (!processed) {
            processed = true;
            how.backend().processed(work);
            parts.workChanged().accept(how.backend());
        }
    }

    /** Notes that something came. */
    private void progress() {
        silentAt = patience.after(parts.ticker().nanos());
    }

    /** Waits until silence becomes too long. */
    private void watch() {
        long wait = silentAt.remainingMillis(parts.ticker().nanos()) + 1;
        timer = parts.thread().executeAfter(this::look, wait, TimeUnit.MILLISECONDS);
    }

    /** Returns whether the server states that requests wait there: its silence is no sign of a failure. */
    private boolean isBusy() {
        return how.backend()
                .load(parts.ticker().nanos(), MAX_LOAD_AGE_MILLIS)
                .map(load -> load.waiting() >= BUSY_WAITING)
                .orElse(false);
    }

    /** Ends the sending after too long a silence. */
    private void look() {
        if (over) {
            return;
        }
        if (!silentAt.passed(parts.ticker().nanos())) {
            watch();
            return;
        }
        if (sent && isBusy() && !patience.over(parts.ticker().nanos())) {
            progress();
            watch();
            return;
        }
        cancellation.cancel();
        parts.transport().closeIdle(how.backend().entry().boot());
        finish(sent ? ForwardOutcome.Kind.SILENT : ForwardOutcome.Kind.NOT_SENT, "no progress in time");
    }
}
