package org.verbenatray.servers;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.verbenatray.time.Deadline;
import org.xnio.XnioIoThread;

/** Client of model engines. Responses are streamed to a listener, which is called on the given I/O thread. */
public interface EngineClient {
    /** Starts prefill and decode of a request. */
    Cancellation generate(String address, GenerateRequest request, XnioIoThread thread, StreamListener listener);

    /** Runs only the prefill of a request; the last line carries the KV cache for {@link #importKv}. */
    Cancellation prefill(String address, GenerateRequest request, XnioIoThread thread, StreamListener listener);

    /** Starts decode from the KV cache that another engine exported after prefill. */
    Cancellation importKv(String address, String kv, XnioIoThread thread, StreamListener listener);

    /** Resumes a stream from a token offset over a new connection, if the engine still runs the dispatch. */
    Cancellation resume(String address, String dispatch, int fromOffset, XnioIoThread thread, StreamListener listener);

    /**
     * Queries over a new connection whether the engine still has a dispatch; fails if the engine doesn't respond in
     * time.
     */
    CompletableFuture<StreamStatus> status(String address, String dispatch, XnioIoThread thread, Deadline deadline);

    /** Requests that the engine stop a dispatch; failures are ignored. */
    void cancel(String address, String dispatch, XnioIoThread thread);

    /**
     * State of a dispatch on an engine.
     *
     * @param known whether the engine still has the dispatch, running or finished
     * @param generated the number of tokens generated so far
     * @param incarnation the incarnation of the engine, if it states one
     */
    record StreamStatus(boolean known, int generated, Optional<Long> incarnation) {}
}
