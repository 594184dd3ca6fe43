package org.verbenatray.servers;

import java.nio.ByteBuffer;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import org.verbenatray.memory.MemoryAccount;
import org.verbenatray.memory.MemoryUse;

/** Collects one response up to a maximum body size. */
final class ResponseCollector implements ResponseListener {
    private final int maxBodyBytes;

    private final ResponseBody body = new ResponseBody();

    private final MemoryAccount.Share share;

    private final CompletableFuture<BufferedResponse> future = new CompletableFuture<>();

    /** Cancels the exchange; volatile, since it is set on the thread of the caller. */
    private volatile Cancellation cancellation = () -> {};

    private int status;

    private Map<String, String> headers = Map.of();

    /**
     * Creates a collector that fails when the body exceeds the given size, or when it is the largest response and the
     * memory of all responses is exhausted.
     *
     * @param thread the thread of the exchange
     */
    ResponseCollector(int maxBody, MemoryAccount memory, Executor thread) {
        this.maxBodyBytes = maxBody;
        this.share = memory.open(
                MemoryUse.OWN_CALL,
                () -> thread.execute(() -> onFailure(ServerFailure.create(
                        ServerFailure.Kind.BAD_RESPONSE, "the response is the largest one and no memory is left"))));
    }

    /** Sets the cancellation to call after a failure. */
    void setCancellation(Cancellation newCancellation) {
        cancellation = newCancellation;
    }

    /** Returns the future response, which fails with a {@link ServerFailure}. */
    CompletableFuture<BufferedResponse> future() {
        return future;
    }

    @Override
    public void onHead(int newStatus, Map<String, String> newHeaders) {
        status = newStatus;
        headers = newHeaders;
    }

    @Override
    public void onBody(ByteBuffer part) {
        if (future.isDone()) {
            return;
        }
        if (body.size() + part.remaining() > maxBodyBytes) {
            onFailure(ServerFailure.create(
                    ServerFailure.Kind.BAD_RESPONSE, "the response is larger than " + maxBodyBytes + " bytes"));
            return;
        }
        body.add(part);
        share.set(body.capacityBytes());
    }

    @Override
    public void onEnd() {
        byte[] bytes = body.toByteArray();
        release();
        future.complete(new BufferedResponse(status, headers, bytes));
    }

    @Override
    public void onFailure(ServerFailure failure) {
        release();
        if (future.completeExceptionally(failure)) {
            cancellation.cancel();
        }
    }

    private void release() {
        body.clear();
        share.close();
    }
}
