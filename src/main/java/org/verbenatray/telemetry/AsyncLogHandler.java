package org.verbenatray.telemetry;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.LogRecord;

/**
 * Log handler that writes on a thread of its own from a bounded queue, so that logging never blocks a request. Lines
 * that do not fit into the queue are dropped, counted, and reported by an event {@code log_lines_dropped}.
 */
public final class AsyncLogHandler extends Handler {
    private static final int MAX_QUEUED_LINES = 2_048;

    private final BlockingQueue<String> queue = new ArrayBlockingQueue<>(MAX_QUEUED_LINES);

    /** The lines dropped since the last {@code log_lines_dropped} event. */
    private final AtomicLong unreportedDropped = new AtomicLong();

    /** All lines dropped since the start. */
    private final AtomicLong totalDropped = new AtomicLong();

    private final PrintStream out;

    private final Formatter lineFormat;

    /** Ends the process after errors, which libraries catch and only log. */
    private final FatalErrors fatalErrors;

    private AsyncLogHandler(PrintStream out, Formatter lineFormat, FatalErrors fatalErrors) {
        this.out = out;
        this.lineFormat = lineFormat;
        this.fatalErrors = fatalErrors;
    }

    /** Returns a handler that writes to the given stream, and starts its daemon thread. */
    static AsyncLogHandler start(PrintStream out, Formatter lineFormat, FatalErrors fatalErrors) {
        AsyncLogHandler handler = new AsyncLogHandler(out, lineFormat, fatalErrors);
        Thread writer = new Thread(handler::writeQueuedLines, "log");
        writer.setDaemon(true);
        writer.start();
        return handler;
    }

    /** Returns the number of lines dropped since the start. */
    public long droppedLines() {
        return totalDropped.get();
    }

    @Override
    public void publish(LogRecord entry) {
        fatalErrors.endIfError(entry.getThrown());
        if (!queue.offer(lineFormat.format(entry))) {
            unreportedDropped.incrementAndGet();
            totalDropped.incrementAndGet();
        }
    }

    @Override
    public void flush() {
        List<String> lines = new ArrayList<>();
        queue.drainTo(lines);
        print(lines);
    }

    @Override
    public void close() {
        flush();
    }

    /** Writes queued lines until the thread is interrupted. */
    private void writeQueuedLines() {
        List<String> lines = new ArrayList<>();
        try {
            while (true) {
                lines.add(queue.take());
                queue.drainTo(lines);
                print(lines);
                lines.clear();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Prints lines, and an event with the number of lines dropped before, if any. */
    private void print(List<String> lines) {
        StringBuilder text = new StringBuilder();
        lines.forEach(text::append);
        long droppedLines = unreportedDropped.getAndSet(0);
        if (droppedLines > 0) {
            text.append(Event.named("log_lines_dropped").with("count", droppedLines))
                    .append('\n');
        }
        if (text.length() > 0) {
            out.print(text);
            out.flush();
        }
    }
}
