package org.verbenatray.instance;

import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.verbenatray.memory.MemoryAccount;
import org.verbenatray.servers.HttpTransport;
import org.verbenatray.telemetry.Event;
import org.verbenatray.time.Deadline;
import org.verbenatray.time.Scheduler;
import org.verbenatray.time.Ticker;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/**
 * The event loop of a relay instance: one I/O thread that handles all its connections, requests and scheduled tasks, so
 * that its state needs no locks.
 */
public final class EventLoop implements AutoCloseable {
    private static final int BUFFER_BYTES = 8 * 1024;

    private static final int MAX_POOLED_BUFFERS = 256;

    /** The delay before a repeated task runs again that has failed, in milliseconds. */
    private static final long FAILED_TASK_DELAY_MILLIS = 1_000;

    private static final Logger log = System.getLogger(EventLoop.class.getName());

    private final XnioWorker worker;

    private final Ticker ticker;

    private final HttpTransport transport;

    private EventLoop(XnioWorker worker, Ticker ticker, MemoryAccount memory, long admissionMillis) {
        this.worker = worker;
        this.ticker = ticker;
        ByteBufferPool buffers = new DefaultByteBufferPool(false, BUFFER_BYTES, MAX_POOLED_BUFFERS, 0);
        this.transport = HttpTransport.create(worker, buffers, ticker, memory, admissionMillis);
    }

    /** Starts an event loop; fails with an {@link UncheckedIOException} when its thread cannot be started. */
    public static EventLoop start(Ticker ticker) {
        return start(ticker, MemoryAccount.ofHeap(), HttpTransport.ADMISSION_MILLIS);
    }

    /**
     * Starts an event loop as {@link #start(Ticker)} with the given account of the bytes it keeps, whose HTTP client
     * awaits the reset of a new connection for the given time in milliseconds beyond a round trip.
     */
    public static EventLoop start(Ticker ticker, MemoryAccount memory, long admissionMillis) {
        try {
            XnioWorker worker = Xnio.getInstance()
                    .createWorker(OptionMap.builder()
                            .set(Options.WORKER_IO_THREADS, 1)
                            .set(Options.WORKER_TASK_CORE_THREADS, 1)
                            .set(Options.WORKER_TASK_MAX_THREADS, 1)
                            .set(Options.TCP_NODELAY, true)
                            .getMap());
            return new EventLoop(worker, ticker, memory, admissionMillis);
        } catch (IOException e) {
            throw new UncheckedIOException("cannot start the network threads; check the limit of descriptors", e);
        }
    }

    /** Returns the XNIO worker that owns the thread. */
    public XnioWorker worker() {
        return worker;
    }

    /** Returns the I/O thread. */
    public XnioIoThread thread() {
        return worker.getIoThread();
    }

    /** Returns the monotonic clock. */
    public Ticker ticker() {
        return ticker;
    }

    /** Returns the HTTP client, which runs on the I/O thread. */
    public HttpTransport transport() {
        return transport;
    }

    /** Returns a scheduler that runs its tasks on the I/O thread. */
    public Scheduler scheduler() {
        return (when, task) -> {
            long nanos = Math.max(0, when.atNanos() - ticker.nanos());
            thread().executeAfter(task, nanos / 1_000_000 + 1, TimeUnit.MILLISECONDS);
        };
    }

    /** Returns a scheduler as {@link #scheduler()} for tasks that conclude something from silence. */
    public Scheduler silenceScheduler() {
        return (when, task) ->
                transport.silenceTimers().schedule(thread(), task, when.remainingMillis(ticker.nanos()) + 1);
    }

    /**
     * Runs a task on the I/O thread again and again: each time after the delay in milliseconds that it returned, or
     * after a second if it has failed with an exception, which is logged.
     */
    public void runRepeatedly(String name, LongSupplier task) {
        long delayMillis = FAILED_TASK_DELAY_MILLIS;
        try {
            delayMillis = task.getAsLong();
        } catch (RuntimeException e) {
            Event.named("task_failed").with("task", name).with("why", e).log(log, Level.ERROR);
        }
        scheduler().runAt(Deadline.afterMillis(ticker.nanos(), delayMillis), () -> runRepeatedly(name, task));
    }

    @Override
    public void close() {
        worker.shutdownNow();
    }
}
