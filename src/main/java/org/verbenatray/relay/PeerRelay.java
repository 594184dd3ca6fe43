package org.verbenatray.relay;

import java.net.URI;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.verbenatray.relay.CallerResponse.DisconnectCause;
import org.verbenatray.servers.Cancellation;
import org.verbenatray.servers.HttpCall;
import org.verbenatray.servers.ResponseHead;
import org.verbenatray.servers.ResponseListener;
import org.verbenatray.servers.ServerFailure;
import org.xnio.XnioIoThread;

/**
 * Relays a request that no server has received through another instance, which reaches the servers. That one makes all
 * decisions, so its response is passed on as it is; it does not forward the request again. Another instance is tried
 * only while the request was not sent, or was declined. Used on one thread.
 */
final class PeerRelay implements ResponseListener, RunningAttempt {
    /** The largest number of instances that are asked to serve one request. */
    private static final int MAX_INSTANCES = 3;

    /** Time of the caller that is kept for the way back from the other instance. */
    private static final long RETURN_MILLIS = 20;

    private final RelayContext context;
    private final RelayCall call;

    /** Ends the call as if there were no other instances. */
    private final Runnable withoutInstances;

    private final List<URI> tried = new ArrayList<>();

    /** Body of a response that is not a stream, and the bytes of an event that is not complete. */
    private ResponseBuffer buffer;

    private final EventSplitter splitter = new EventSplitter();

    private XnioIoThread.Key deadlineTimer;

    private Cancellation cancellation = () -> {};

    /** Head of the response; null before it arrives. */
    private ServerResponseHead head;

    /** Whether the response ends with its connection, so that a broken one looks complete. */
    private boolean endsWithConnection;

    private boolean sendingStarted;

    /** Whether the attempt at the last instance has ended. */
    private boolean closed = true;

    private PeerRelay(RelayContext context, RelayCall call, Runnable withoutInstances) {
        this.context = context;
        this.call = call;
        this.withoutInstances = withoutInstances;
    }

    /**
     * Forwards a call to another instance, or runs the given task if that is not possible: no instance is known to
     * reach the servers, the request may have run or may not be sent any more, or another instance has forwarded it to
     * this one.
     */
    static void startOrElse(RelayContext context, RelayCall call, Runnable withoutInstances) {
        if (call.forwarded() || call.owed() || call.finished() || !call.maySend()) {
            withoutInstances.run();
            return;
        }
        PeerRelay relay = new PeerRelay(context, call, withoutInstances);
        Optional<URI> instance = context.forwardingTargets().choose(relay.tried);
        if (instance.isEmpty() || call.times().remainingMillis() <= RETURN_MILLIS) {
            withoutInstances.run();
            return;
        }
        call.response().onDisconnect(relay::callerDisconnected);
        relay.deadlineTimer = call.scheduleAtDeadline(relay::handleDeadline);
        relay.send(instance.get());
    }

    private ResponseBuffer openBuffer() {
        return ResponseBuffer.open(
                context.transport().memory(),
                ResponseLimits.MAX_BODY_BYTES,
                () -> context.thread().execute(call.guard().wrap(() -> fail("memory"))));
    }

    private void send(URI instance) {
        tried.add(instance);
        buffer = openBuffer();
        closed = false;
        sendingStarted = false;
        call.setRunning(this);
        HttpCall forward = context.dialect()
                .forwardToInstance(
                        call.request(), instance, Math.max(1, call.times().remainingMillis() - RETURN_MILLIS));
        cancellation = context.transport()
                .exchange(forward, context.thread(), call.guard().wrap(this));
    }

    @Override
    public boolean sendingStarted() {
        return sendingStarted;
    }

    @Override
    public boolean prefillOnly() {
        return false;
    }

    @Override
    public String receiver() {
        return tried.get(tried.size() - 1).getHost();
    }

    @Override
    public void cancel() {
        if (!closed) {
            call.recordCancelled(this);
            close();
            cancellation.cancel();
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
    }

    @Override
    public void onHead(ResponseHead responseHead) {
        head = context.dialect().parseHead(call.request(), responseHead);
        endsWithConnection = responseHead.endsWithConnection();
        buffer.recordHead(responseHead);
        if (!head.matchesRequestId()) {
            fail("answer_of_another_request");
        } else if (head.status() < 300 && !head.authentic()) {
            fail("answer_without_server");
        }
    }

    @Override
    public boolean readsOn(Runnable resume) {
        return closed || head == null || head.eventStream() || buffer.hasRoom(resume);
    }

    @Override
    public void onBody(ByteBuffer piece) {
        if (closed) {
            return;
        }
        if (head.eventStream()) {
            splitter.feed(piece, event -> {
                if (!closed) {
                    call.relayEvent(head, event);
                }
            });
            call.response().writeBuffered();
            buffer.setEventBytes(splitter.partialBytes());
            if (splitter.partialBytes() > ResponseLimits.MAX_EVENT_BYTES) {
                fail("answer_too_large");
            }
        } else if (!buffer.add(piece)) {
            fail("answer_too_large");
        }
    }

    @Override
    public void onEnd() {
        if (closed) {
            return;
        }
        if (endsWithConnection || head.eventStream() && splitter.isInsideEvent()) {
            fail("answer_incomplete");
        } else if (ForwardedRequests.isDeclined(head)) {
            tryNext();
        } else if (head.eventStream()) {
            end();
            call.endStream(head);
        } else {
            context.transport().memory().changeTogether(this::relayWhole);
        }
    }

    private void relayWhole() {
        byte[] bytes = buffer.take();
        end();
        call.relayForwarded(head, bytes);
    }

    @Override
    public void onFailure(ServerFailure failure) {
        if (sendingStarted) {
            fail("instance_failed");
        } else {
            tryNext();
        }
    }

    /** Asks another instance after one that has not received the request, or has declined it. */
    private void tryNext() {
        close();
        Optional<URI> next =
                tried.size() < MAX_INSTANCES ? context.forwardingTargets().choose(tried) : Optional.empty();
        if (next.isPresent() && call.times().remainingMillis() > RETURN_MILLIS) {
            send(next.get());
            return;
        }
        end();
        withoutInstances.run();
    }

    /** Ends the call after a failure at which the request may have run. */
    private void fail(String outcome) {
        if (closed) {
            return;
        }
        cancellation.cancel();
        call.recordPossibleRun();
        end();
        call.giveUp(outcome, 0);
    }

    /** Gives up when the deadline has passed. */
    private void handleDeadline() {
        if (call.finished() || closed) {
            return;
        }
        cancellation.cancel();
        if (sendingStarted) {
            call.recordPossibleRun();
        }
        end();
        call.giveUp("timeout", 0);
    }

    /** Cancels the attempt when the caller has disconnected; the other instance sees its connection end. */
    private void callerDisconnected(DisconnectCause cause) {
        cancel();
        if (sendingStarted) {
            call.recordPossibleRun();
        }
        end();
        call.callerDisconnected(cause);
    }

    /** Ends the attempt and the deadline timer. */
    private void end() {
        close();
        deadlineTimer.remove();
    }

    private void close() {
        closed = true;
        buffer.close();
        call.setRunning(null);
    }
}
