package org.verbenatray.servers;

import java.nio.ByteBuffer;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.verbenatray.log.RecordCodec;
import org.verbenatray.time.Deadline;
import org.xnio.XnioIoThread;

/** Client of model engines over HTTP. Requests are JSON; responses hold one JSON object per line. */
public final class HttpEngineClient implements EngineClient {
    private static final int MAX_STATUS_RESPONSE_BYTES = 64 * 1024;

    /** The largest body of a response that is no stream. */
    private static final int MAX_REFUSAL_BYTES = 64 * 1024;

    private static final long CANCEL_TIMEOUT_MILLIS = 2_000;

    private final HttpTransport transport;

    private HttpEngineClient(HttpTransport transport) {
        this.transport = transport;
    }

    /** Returns a client that sends over the given transport. */
    public static HttpEngineClient create(HttpTransport transport) {
        return new HttpEngineClient(transport);
    }

    @Override
    public Cancellation generate(
            String address, GenerateRequest request, XnioIoThread thread, StreamListener listener) {
        HttpCall call = HttpCall.json("POST", address, "/generate", RecordCodec.encode(request));
        return stream(call, thread, listener);
    }

    @Override
    public Cancellation prefill(String address, GenerateRequest request, XnioIoThread thread, StreamListener listener) {
        HttpCall call = HttpCall.json("POST", address, "/prefill", RecordCodec.encode(request));
        return stream(call, thread, listener);
    }

    @Override
    public Cancellation importKv(String address, String kv, XnioIoThread thread, StreamListener listener) {
        HttpCall call = HttpCall.json("POST", address, "/import", kv);
        return stream(call, thread, listener);
    }

    @Override
    public Cancellation resume(
            String address, String dispatch, int fromOffset, XnioIoThread thread, StreamListener listener) {
        HttpCall call = HttpCall.withoutBody("GET", address, "/streams/" + dispatch + "?from=" + fromOffset)
                .onNewConnection();
        return stream(call, thread, listener);
    }

    @Override
    public CompletableFuture<StreamStatus> status(
            String address, String dispatch, XnioIoThread thread, Deadline deadline) {
        HttpCall call = HttpCall.withoutBody("GET", address, "/streams/" + dispatch + "/status")
                .onNewConnection();
        return transport
                .call(call, thread, deadline, MAX_STATUS_RESPONSE_BYTES)
                .thenApply(response -> RecordCodec.decode(response.text(), StreamStatus.class));
    }

    @Override
    public void cancel(String address, String dispatch, XnioIoThread thread) {
        Deadline deadline = Deadline.afterMillis(transport.ticker().nanos(), CANCEL_TIMEOUT_MILLIS);
        transport.call(
                HttpCall.withoutBody("DELETE", address, "/streams/" + dispatch),
                thread,
                deadline,
                MAX_STATUS_RESPONSE_BYTES);
    }

    private Cancellation stream(HttpCall call, XnioIoThread thread, StreamListener listener) {
        ChunkReader reader = new ChunkReader(listener);
        Cancellation cancellation = transport.exchange(call, thread, reader);
        reader.setCancellation(cancellation);
        return cancellation;
    }

    /** Decodes the lines of a response into chunks. */
    private static final class ChunkReader implements ResponseListener {
        private final StreamListener listener;

        private final LineSplitter lines = new LineSplitter(this::onLine);

        private int status;

        /** The lines of the body of a response with a status other than 200, without line feeds. */
        private final StringBuilder refusalBody = new StringBuilder();

        /** Cancels the exchange; volatile, since it is set on the thread of the caller. */
        private volatile Cancellation cancellation = () -> {};

        /** The bytes received of a response with a status other than 200. */
        private int refusalBytes;

        /** Whether the listener got its last call. */
        private boolean finished;

        ChunkReader(StreamListener listener) {
            this.listener = listener;
        }

        /** Sets the cancellation to call if the response cannot be used. */
        void setCancellation(Cancellation newCancellation) {
            cancellation = newCancellation;
        }

        @Override
        public void onHead(int newStatus, Map<String, String> headers) {
            status = newStatus;
        }

        @Override
        public void onBody(ByteBuffer part) {
            if (finished) {
                cancellation.cancel();
                return;
            }
            try {
                checkRefusal(part.remaining());
                lines.feed(part);
            } catch (IllegalArgumentException e) {
                cancellation.cancel();
                onFailure(ServerFailure.create(ServerFailure.Kind.BAD_RESPONSE, e.getMessage(), e));
            }
        }

        @Override
        public void onEnd() {
            if (finished) {
                return;
            }
            finished = true;
            if (status == 200) {
                listener.onEnd();
            } else {
                listener.onFailure(EngineRefusals.failureOf(status, refusalBody.toString()));
            }
        }

        @Override
        public void onFailure(ServerFailure failure) {
            if (!finished) {
                finished = true;
                listener.onFailure(failure);
            }
        }

        /** Counts the bytes of a response with a status other than 200; throws if they exceed their limit. */
        private void checkRefusal(int bytes) {
            if (status != 200) {
                refusalBytes += bytes;
                if (refusalBytes > MAX_REFUSAL_BYTES) {
                    throw new IllegalArgumentException("a refusal is longer than " + MAX_REFUSAL_BYTES + " bytes");
                }
            }
        }

        private void onLine(String line) {
            if (status != 200) {
                refusalBody.append(line);
                return;
            }
            if (!line.isEmpty()) {
                listener.onChunk(RecordCodec.decode(line, EngineChunk.class));
            }
        }
    }
}
