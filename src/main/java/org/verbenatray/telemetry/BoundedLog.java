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

/** Writes log lines on a thread of its own from a bounded queue; lines that do not fit are counted and told. */
public final class BoundedLog extends Handler {
    /** The largest number of lines that wait. */
    private static final int MAX_WAITING = 2_048;

    /** The lines that wait. */
    private final BlockingQueue<String> waiting = new ArrayBlockingQueue<>(MAX_WAITING);

    /** The lines dropped since the last line that told of them. */
    private final AtomicLong dropped = new AtomicLong();

    /** All lines ever dropped. */
    private final AtomicLong droppedInAll = new AtomicLong();

    /** Where the lines go. */
    private final PrintStream out;

    /** The format of the lines. */
    private final Formatter lineFormat;

    /** Creates a handler. */
    private BoundedLog(PrintStream out, Formatter lineFormat) {
        this.out = out;
        this.lineFormat = lineFormat;
    }

    /** Starts a handler that writes to the given stream. */
    static BoundedLog start(PrintStream out, Formatter lineFormat) {
        BoundedLog handler = new BoundedLog(out, lineFormat);
        Thread writer = new Thread(handler::write, "log");
        writer.setDaemon(true);
        writer.start();
        return handler;
    }

    /** Returns the number of lines that were dropped. */
    public long dropped() {
        return droppedInAll.get();
    }

    @Override
    public void publish(LogRecord entry) {
        if (!waiting.offer(lineFormat.format(entry))) {
            dropped.incrementAndGet();
            droppedInAll.incrementAndGet();
        }
    }

    @Override
    public void flush() {
        List<String> lines = new ArrayList<>();
        waiting.drainTo(lines);
        print(lines);
    }

    @Override
    public void close() {
        flush();
    }

    /** Writes lines as they come. */
    private void write() {
        List<String> lines = new ArrayList<>();
        try {
            while (true) {
                lines.add(waiting.take());
                waiting.drainTo(lines);
                print(lines);
                lines.clear();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Prints lines, and how many were dropped before. */
    private void print(List<String> lines) {
        StringBuilder text = new StringBuilder();
        lines.forEach(text::append);
        long missing = dropped.getAndSet(0);
        if (missing > 0) {
            text.append(Event.named("log_lines_dropped").with("count", missing)).append('\n');
        }
        if (text.length() > 0) {
            out.print(text);
            out.flush();
        }
    }
}
