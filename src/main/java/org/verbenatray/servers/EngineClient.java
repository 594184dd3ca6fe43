package org.verbenatray.servers;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.verbenatray.time.Deadline;
import org.xnio.XnioIoThread;

/** The protocol towards model engines. */
public interface EngineClient {
    /** Starts generation; the listener is called on the given thread. */
    Cancellation generate(String address, GenerateRequest request, XnioIoThread thread, StreamListener listener);

    /** Processes a prompt only; the last line carries its KV cache for {@link #importKv}. */
    Cancellation prefill(String address, GenerateRequest request, XnioIoThread thread, StreamListener listener);

    /** Starts generation after a prompt that another engine processed. */
    Cancellation importKv(String address, String kv, XnioIoThread thread, StreamListener listener);

    /** Continues a stream that the engine still runs from a token offset, over a new connection. */
    Cancellation resume(String address, String dispatch, int fromOffset, XnioIoThread thread, StreamListener listener);

    /** Asks over a new connection whether the engine still runs a dispatch; fails when the engine does not answer. */
    CompletableFuture<StreamStatus> status(String address, String dispatch, XnioIoThread thread, Deadline deadline);

    /** Tells the engine to stop a dispatch; failures are ignored. */
    void cancel(String address, String dispatch, XnioIoThread thread);

    /**
     * What an engine knows of a dispatch.
     *
     * @param known whether the engine still has it, running or finished
     * @param generated the tokens generated so far
     * @param incarnation the engine's incarnation, where it tells
     */
    record StreamStatus(boolean known, int generated, Optional<Long> incarnation) {}
}
