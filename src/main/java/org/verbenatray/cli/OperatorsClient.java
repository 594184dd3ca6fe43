package org.verbenatray.cli;

import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.util.concurrent.CompletionException;
import org.verbenatray.servers.BufferedResponse;
import org.verbenatray.servers.HttpCall;
import org.verbenatray.servers.HttpTransport;
import org.verbenatray.time.Deadline;
import org.verbenatray.time.Ticker;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** HTTP client for the operators' ports of instances. */
final class OperatorsClient implements AutoCloseable {
    /** The timeout of a request in milliseconds. */
    private static final long TIMEOUT_MILLIS = 10_000;

    /** The maximum size of a response body in bytes. */
    private static final int MAX_RESPONSE_BYTES = 256 * 1024 * 1024;

    private static final int BUFFER_BYTES = 16 * 1024;

    private final XnioWorker worker;

    private final HttpTransport transport;

    private OperatorsClient() throws IOException {
        worker = Xnio.getInstance()
                .createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1, Options.THREAD_DAEMON, true));
        transport = HttpTransport.create(worker, new DefaultByteBufferPool(true, BUFFER_BYTES), Ticker.system());
    }

    /** Returns a client with an I/O thread of its own. */
    static OperatorsClient create() throws IOException {
        return new OperatorsClient();
    }

    /**
     * Sends a GET request and returns the response; fails with an {@link IOException} that names the remedy if there
     * is no response.
     */
    BufferedResponse get(String address, String path) throws IOException {
        Deadline deadline = Deadline.afterMillis(transport.ticker().nanos(), TIMEOUT_MILLIS);
        try {
            return transport
                    .call(
                            HttpCall.withoutBody("GET", address, path),
                            transport.anyThread(),
                            deadline,
                            MAX_RESPONSE_BYTES)
                    .join();
        } catch (CompletionException e) {
            // The message contains the root cause; as a cause, it would replace the message with the remedy.
            throw new IOException(CommandLine.rootCauseMessage(e)
                    + "; check the address of the operators' port and that the instance runs");
        }
    }

    @Override
    public void close() {
        worker.shutdownNow();
    }
}
