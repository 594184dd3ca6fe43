package org.verbenatray.instance;

import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.time.Clock;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.verbenatray.configuration.ConfigurationView;
import org.verbenatray.log.LogUnavailableException;
import org.verbenatray.log.RecordBody;
import org.verbenatray.log.Verdict;
import org.verbenatray.servers.HttpLogService;
import org.verbenatray.servers.HttpTransport;
import org.verbenatray.time.Deadline;
import org.verbenatray.time.Scheduler;
import org.verbenatray.time.Ticker;
import org.verbenatray.time.Timing;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** An operator's session with the platform's log: reads all of it, appends records and learns their verdicts. */
public final class LogSession implements AutoCloseable {
    /** The pause between two looks at the progress of the reader in milliseconds. */
    private static final long LOOK_MILLIS = 10;

    /** The time after which any read counts. */
    private static final long ANY_READ = Long.MIN_VALUE;

    /** The time that one append may take in milliseconds. */
    private static final long APPEND_MILLIS = 15_000;

    /** The threads that move bytes. */
    private final XnioWorker worker;

    /** The thread that runs what is due later. */
    private final ScheduledExecutorService executor;

    /** The sources of time. */
    private final Timing timing;

    /** The parts around the log. */
    private final LogParts parts;

    /** Creates a session. */
    private LogSession(String author, String platform) throws IOException {
        worker = Xnio.getInstance()
                .createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1, Options.THREAD_DAEMON, true));
        executor = Executors.newSingleThreadScheduledExecutor(task -> {
            Thread thread = new Thread(task, "log-session");
            thread.setDaemon(true);
            return thread;
        });
        Ticker ticker = Ticker.system();
        timing = new Timing(ticker, Clock.systemUTC(), Scheduler.on(executor, ticker));
        HttpTransport transport = HttpTransport.create(worker, new DefaultByteBufferPool(true, 16 * 1024), ticker);
        parts = LogParts.create(author, HttpLogService.create(transport, platform), () -> 1, timing);
    }

    /** Returns a session that has read all of the log; fails when the platform does not answer by the deadline. */
    public static LogSession open(String author, String platform, long timeoutMillis) throws IOException {
        LogSession session = new LogSession(author, platform);
        session.parts.follower().start();
        try {
            session.caughtUp(ANY_READ, session.timing.inMillis(timeoutMillis)).get();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new LogUnavailableException("interrupted while reading the log; start the command again", e);
        } catch (ExecutionException e) {
            session.close();
            throw new LogUnavailableException(e.getCause().getMessage(), e.getCause());
        }
        return session;
    }

    /** Returns the configuration in force with its files and history. */
    public ConfigurationView configuration() {
        return parts.fold().read(parts.configuration()::view);
    }

    /** Appends a record and returns its verdict; fails with a {@link LogUnavailableException} when none was read. */
    public Verdict append(RecordBody body, Optional<Long> follows) {
        try {
            return parts.appender()
                    .submit(body, follows, timing.inMillis(APPEND_MILLIS))
                    .get(2 * APPEND_MILLIS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new LogUnavailableException("interrupted; read the history to learn what became of the record", e);
        } catch (ExecutionException | TimeoutException e) {
            throw new LogUnavailableException(
                    "no verdict was read (" + e.getMessage() + "); read the history to learn what became of the record",
                    e);
        }
    }

    /** Reads whatever is new by now; fails when the platform does not answer in time. */
    public void refresh(long timeoutMillis) {
        long now = timing.ticker().nanos();
        parts.follower().poke();
        caughtUp(now, timing.inMillis(timeoutMillis)).join();
    }

    @Override
    public void close() {
        parts.follower().stop();
        executor.shutdownNow();
        worker.shutdownNow();
    }

    /** Completes when the reader has caught up with the log as it was after the given time. */
    private CompletableFuture<Void> caughtUp(long afterNanos, Deadline deadline) {
        CompletableFuture<Void> done = new CompletableFuture<>();
        look(afterNanos, deadline, done);
        return done;
    }

    /** Looks whether the reader has caught up, again and again until the deadline. */
    private void look(long afterNanos, Deadline deadline, CompletableFuture<Void> done) {
        boolean readSince = parts.follower()
                .lastReadNanos()
                .filter(at -> afterNanos == ANY_READ || at - afterNanos >= 0)
                .isPresent();
        if (readSince && parts.follower().isCaughtUp()) {
            done.complete(null);
        } else if (timing.passed(deadline)) {
            String cause = parts.follower()
                    .failure()
                    .map(Throwable::getMessage)
                    .orElse("the log was not read to its end in time");
            done.completeExceptionally(new LogUnavailableException(cause, null));
        } else {
            timing.scheduler().runAt(timing.inMillis(LOOK_MILLIS), () -> look(afterNanos, deadline, done));
        }
    }
}
