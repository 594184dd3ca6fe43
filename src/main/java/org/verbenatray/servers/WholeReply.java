package org.verbenatray.servers;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/** Collects one reply up to a bound. */
final class WholeReply implements ReplyListener {
    /** The largest body in bytes. */
    private final int maxBody;

    /** The body so far. */
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();

    /** Completes with the reply. */
    private final CompletableFuture<HttpReply> future = new CompletableFuture<>();

    /** Ends the exchange. */
    private volatile Cancellation cancellation = () -> {};

    /** The status. */
    private int status;

    /** The headers. */
    private Map<String, String> headers = Map.of();

    /** Creates an empty reply. */
    WholeReply(int maxBody) {
        this.maxBody = maxBody;
    }

    /** Sets what ends the exchange after a failure. */
    void cancelWith(Cancellation newCancellation) {
        cancellation = newCancellation;
    }

    /** Returns the future reply. */
    CompletableFuture<HttpReply> future() {
        return future;
    }

    @Override
    public void onHead(int newStatus, Map<String, String> newHeaders) {
        status = newStatus;
        headers = newHeaders;
    }

    @Override
    public void onBody(ByteBuffer piece) {
        if (body.size() + piece.remaining() > maxBody) {
            onFailure(ServerFailure.create(
                    ServerFailure.Kind.WRONG_REPLY, "the reply is larger than " + maxBody + " bytes"));
            return;
        }
        byte[] bytes = new byte[piece.remaining()];
        piece.get(bytes);
        body.writeBytes(bytes);
    }

    @Override
    public void onEnd() {
        future.complete(new HttpReply(status, headers, body.toByteArray()));
    }

    @Override
    public void onFailure(ServerFailure failure) {
        if (future.completeExceptionally(failure)) {
            cancellation.cancel();
        }
    }
}
