package org.verbenatray.explain;

import java.util.ArrayList;
import java.util.List;
import org.verbenatray.explain.Explanation.TimedStep;
import org.verbenatray.time.Ticker;

/** Collects the steps of one request up to a bound; thread-safe. */
public final class Trace {
    /** The largest number of steps that are kept. */
    static final int MAX_STEPS = 48;

    /** Nanoseconds in one millisecond. */
    private static final long NANOS_PER_MILLI = 1_000_000;

    /** What is known at the receipt, without steps. */
    private final Explanation head;

    /** When the request was received on the monotonic clock. */
    private final long receivedNanos;

    /** The clock. */
    private final Ticker ticker;

    /** The steps so far. */
    private final List<TimedStep> steps = new ArrayList<>(4);

    /** The last step, kept or not; null before the first. */
    private Step lastStep;

    /** The steps that were not kept. */
    private int omitted;

    /** Creates a trace. */
    private Trace(Explanation head, long receivedNanos, Ticker ticker) {
        this.head = head;
        this.receivedNanos = receivedNanos;
        this.ticker = ticker;
    }

    /** Returns a trace without steps of a request that was received at the given time. */
    static Trace create(Explanation head, long receivedNanos, Ticker ticker) {
        return new Trace(head, receivedNanos, ticker);
    }

    /** Adds a step unless it equals the last one; the last place is kept for the end. */
    public synchronized void add(Step step) {
        if (step.equals(lastStep)) {
            return;
        }
        lastStep = step;
        boolean last = step instanceof Step.Ended;
        if (steps.size() >= (last ? MAX_STEPS : MAX_STEPS - 1)) {
            omitted++;
            return;
        }
        steps.add(new TimedStep(afterMillis(), step));
    }

    /** Returns the time since the receipt of the request in milliseconds. */
    public long afterMillis() {
        return (ticker.nanos() - receivedNanos) / NANOS_PER_MILLI;
    }

    /** Returns what became of the request up to now. */
    public synchronized Explanation explanation() {
        return new Explanation(
                head.request(),
                head.instance(),
                head.failureDomain(),
                head.customer(),
                head.subject(),
                head.receivedMillis(),
                head.configuration(),
                List.copyOf(steps),
                omitted);
    }
}
