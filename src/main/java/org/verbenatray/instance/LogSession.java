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

/**
 * An operator's session with the platform's log, for commands: reads the whole log, appends records and returns their
 * verdicts. Appending and refreshing block. Runs daemon threads of its own until it is closed.
 */
public final class LogSession implements AutoCloseable {
    /** The interval in which the progress of the log follower is checked, in milliseconds. */
    private static final long POLL_INTERVAL_MILLIS = 10;

    /** Marks that any earlier read is recent enough. */
    private static final long ANY_READ = Long.MIN_VALUE;

    private static final long APPEND_TIMEOUT_MILLIS = 15_000;

    private final XnioWorker worker;

    private final ScheduledExecutorService executor;

    private final Timing timing;

    private final LogParts parts;

    private LogSession(String author, String platform) throws IOException {
        worker = Xnio.getInstance()
                .createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1, Options.THREAD_DAEMON, true));
        executor = Executors.newSingleThreadScheduledExecutor(task -> {
            Thread thread = new Thread(task, "log-session");
            thread.setDaemon(true);
            return thread;
        });
        Ticker ticker = Ticker.system();
        timing = new Timing(ticker, Clock.systemUTC(), Scheduler.onExecutor(executor, ticker));
        HttpTransport transport = HttpTransport.create(worker, new DefaultByteBufferPool(true, 16 * 1024), ticker);
        parts = LogParts.create(author, HttpLogService.create(transport, platform), () -> 1, timing);
    }

    /** Opens a session and reads the log to its end; fails with a {@link LogUnavailableException} at the timeout. */
    public static LogSession open(String author, String platform, long timeoutMillis) throws IOException {
        LogSession session = new LogSession(author, platform);
        session.parts.follower().start();
        try {
            session.whenCaughtUp(ANY_READ, session.timing.deadlineAfterMillis(timeoutMillis))
                    .get();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new LogUnavailableException("interrupted while reading the log; start the command again", e);
        } catch (ExecutionException e) {
            session.close();
            throw new LogUnavailableException(e.getCause().getMessage(), e.getCause());
        }
        return session;
    }

    /** Returns the active configuration with its files and history. */
    public ConfigurationView configuration() {
        return parts.fold().read(parts.configuration()::view);
    }

    /** Appends a record and returns its verdict; fails with a {@link LogUnavailableException} when none is read. */
    public Verdict append(RecordBody body, Optional<Long> follows) {
        try {
            return parts.appender()
                    .submit(body, follows, timing.deadlineAfterMillis(APPEND_TIMEOUT_MILLIS))
                    .get(2 * APPEND_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new LogUnavailableException(
                    "interrupted; read the history to see whether the record was accepted", e);
        } catch (ExecutionException | TimeoutException e) {
            throw new LogUnavailableException(
                    "no verdict was read (" + e.getMessage()
                            + "); read the history to see whether the record was accepted",
                    e);
        }
    }

    /** Reads the log up to its current end; fails when that takes longer than the timeout. */
    public void refresh(long timeoutMillis) {
        long now = timing.ticker().nanos();
        parts.follower().requestRead();
        whenCaughtUp(now, timing.deadlineAfterMillis(timeoutMillis)).join();
    }

    @Override
    public void close() {
        parts.follower().stop();
        executor.shutdownNow();
        worker.shutdownNow();
    }

    /** Returns a future that completes when a read later than the given time has reached the end of the log. */
    private CompletableFuture<Void> whenCaughtUp(long afterNanos, Deadline deadline) {
        CompletableFuture<Void> done = new CompletableFuture<>();
        pollUntilCaughtUp(afterNanos, deadline, done);
        return done;
    }

    /** Checks whether the follower has caught up, and repeats the check until the deadline. */
    private void pollUntilCaughtUp(long afterNanos, Deadline deadline, CompletableFuture<Void> done) {
        boolean readSince = parts.follower()
                .lastReadNanos()
                .filter(at -> afterNanos == ANY_READ || at - afterNanos >= 0)
                .isPresent();
        if (readSince && parts.follower().isCaughtUp()) {
            done.complete(null);
        } else if (timing.hasPassed(deadline)) {
            String cause = parts.follower()
                    .lastReadFailure()
                    .map(Throwable::getMessage)
                    .orElse("the log was not read to its end in time");
            done.completeExceptionally(new LogUnavailableException(cause, null));
        } else {
            timing.scheduler()
                    .runAt(
                            timing.deadlineAfterMillis(POLL_INTERVAL_MILLIS),
                            () -> pollUntilCaughtUp(afterNanos, deadline, done));
        }
    }
}
