package org.verbenatray.instance;

import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.concurrent.TimeUnit;
import org.verbenatray.servers.HttpTransport;
import org.verbenatray.time.Scheduler;
import org.verbenatray.time.Ticker;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/** The one thread of a relaying instance, on which it listens, calls and decides. */
public final class RelayLoop implements AutoCloseable {
    /** The size of one buffer in bytes. */
    private static final int BUFFER_BYTES = 8 * 1024;

    /** The largest number of buffers kept. */
    private static final int MAX_BUFFERS = 256;

    /** The worker. */
    private final XnioWorker worker;

    /** The clock. */
    private final Ticker ticker;

    /** The connections. */
    private final HttpTransport transport;

    /** Creates a loop. */
    private RelayLoop(XnioWorker worker, Ticker ticker) {
        this.worker = worker;
        this.ticker = ticker;
        ByteBufferPool buffers = new DefaultByteBufferPool(false, BUFFER_BYTES, MAX_BUFFERS, 0);
        this.transport = HttpTransport.create(worker, buffers, ticker);
    }

    /** Starts a loop. */
    public static RelayLoop start(Ticker ticker) {
        try {
            XnioWorker worker = Xnio.getInstance()
                    .createWorker(OptionMap.builder()
                            .set(Options.WORKER_IO_THREADS, 1)
                            .set(Options.WORKER_TASK_CORE_THREADS, 1)
                            .set(Options.WORKER_TASK_MAX_THREADS, 1)
                            .set(Options.TCP_NODELAY, true)
                            .getMap());
            return new RelayLoop(worker, ticker);
        } catch (IOException e) {
            throw new UncheckedIOException("cannot start the network threads; check the limit of descriptors", e);
        }
    }

    /** Returns the worker. */
    public XnioWorker worker() {
        return worker;
    }

    /** Returns the thread. */
    public XnioIoThread thread() {
        return worker.getIoThread();
    }

    /** Returns the clock. */
    public Ticker ticker() {
        return ticker;
    }

    /** Returns the connections. */
    public HttpTransport transport() {
        return transport;
    }

    /** Returns a scheduler on the thread. */
    public Scheduler scheduler() {
        return (when, task) -> {
            long nanos = Math.max(0, when.atNanos() - ticker.nanos());
            thread().executeAfter(task, nanos / 1_000_000 + 1, TimeUnit.MILLISECONDS);
        };
    }

    @Override
    public void close() {
        worker.shutdownNow();
    }
}
