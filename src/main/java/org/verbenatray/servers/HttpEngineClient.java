package org.verbenatray.servers;

import java.nio.ByteBuffer;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.verbenatray.log.RecordCodec;
import org.verbenatray.time.Deadline;
import org.xnio.XnioIoThread;

/** The HTTP protocol towards model engines: JSON requests and replies of one JSON object a line. */
public final class HttpEngineClient implements EngineClient {
    /** The largest status reply in bytes. */
    private static final int MAX_STATUS_BYTES = 64 * 1024;

    /** The time that a cancelled dispatch may take in milliseconds. */
    private static final long CANCEL_MILLIS = 2_000;

    /** The transport. */
    private final HttpTransport transport;

    /** Creates a client. */
    private HttpEngineClient(HttpTransport transport) {
        this.transport = transport;
    }

    /** Returns a client on a transport. */
    public static HttpEngineClient create(HttpTransport transport) {
        return new HttpEngineClient(transport);
    }

    @Override
    public Cancellation generate(
            String address, GenerateRequest request, XnioIoThread thread, StreamListener listener) {
        HttpCall call = HttpCall.json("POST", address, "/generate", RecordCodec.encode(request));
        return transport.exchange(call, thread, new ChunkReader(listener));
    }

    @Override
    public Cancellation prefill(String address, GenerateRequest request, XnioIoThread thread, StreamListener listener) {
        HttpCall call = HttpCall.json("POST", address, "/prefill", RecordCodec.encode(request));
        return transport.exchange(call, thread, new ChunkReader(listener));
    }

    @Override
    public Cancellation importKv(String address, String kv, XnioIoThread thread, StreamListener listener) {
        HttpCall call = HttpCall.json("POST", address, "/import", kv);
        return transport.exchange(call, thread, new ChunkReader(listener));
    }

    @Override
    public Cancellation resume(
            String address, String dispatch, int fromOffset, XnioIoThread thread, StreamListener listener) {
        HttpCall call = HttpCall.bare("GET", address, "/streams/" + dispatch + "?from=" + fromOffset)
                .onFreshConnection();
        return transport.exchange(call, thread, new ChunkReader(listener));
    }

    @Override
    public CompletableFuture<StreamStatus> status(
            String address, String dispatch, XnioIoThread thread, Deadline deadline) {
        HttpCall call = HttpCall.bare("GET", address, "/streams/" + dispatch + "/status")
                .onFreshConnection();
        return transport
                .call(call, thread, deadline, MAX_STATUS_BYTES)
                .thenApply(reply -> RecordCodec.decode(reply.text(), StreamStatus.class));
    }

    @Override
    public void cancel(String address, String dispatch, XnioIoThread thread) {
        Deadline deadline = Deadline.afterMillis(transport.ticker().nanos(), CANCEL_MILLIS);
        transport.call(HttpCall.bare("DELETE", address, "/streams/" + dispatch), thread, deadline, MAX_STATUS_BYTES);
    }

    /** Turns the lines of a reply into chunks. */
    private static final class ChunkReader implements ReplyListener {
        /** The receiver of the chunks. */
        private final StreamListener listener;

        /** Splits the body. */
        private final LineSplitter lines = new LineSplitter(this::onLine);

        /** The status. */
        private int status;

        /** The start of the body of a refusal. */
        private final StringBuilder refusal = new StringBuilder();

        /** Whether the listener got its last call. */
        private boolean over;

        /** Creates a reader. */
        ChunkReader(StreamListener listener) {
            this.listener = listener;
        }

        @Override
        public void onHead(int newStatus, Map<String, String> headers) {
            status = newStatus;
        }

        @Override
        public void onBody(ByteBuffer piece) {
            if (over) {
                return;
            }
            try {
                lines.take(piece);
            } catch (IllegalArgumentException e) {
                onFailure(ServerFailure.create(ServerFailure.Kind.WRONG_REPLY, e.getMessage(), e));
            }
        }

        @Override
        public void onEnd() {
            if (over) {
                return;
            }
            over = true;
            if (status == 200) {
                listener.onEnd();
            } else {
                listener.onFailure(EngineRefusals.of(status, refusal.toString()));
            }
        }

        @Override
        public void onFailure(ServerFailure failure) {
            if (!over) {
                over = true;
                listener.onFailure(failure);
            }
        }

        /** Takes one line. */
        private void onLine(String line) {
            if (status != 200) {
                refusal.append(line);
                return;
            }
            if (!line.isEmpty()) {
                listener.onChunk(RecordCodec.decode(line, EngineChunk.class));
            }
        }
    }
}
