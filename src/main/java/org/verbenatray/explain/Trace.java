package org.verbenatray.explain;

import java.util.ArrayList;
import java.util.List;
import org.verbenatray.explain.Explanation.TimedStep;
import org.verbenatray.time.Ticker;

/** Collects the steps of one request, up to a fixed number; thread-safe. */
public final class Trace {
    /** The maximum number of steps kept. */
    static final int MAX_STEPS = 48;

    private static final long NANOS_PER_MILLI = 1_000_000;

    /** The explanation as of the receipt, without steps. */
    private final Explanation head;

    /** The time of receipt on the monotonic clock. */
    private final long receivedNanos;

    private final Ticker ticker;

    private final List<TimedStep> steps = new ArrayList<>(4);

    /** The last step added, kept or not; null before the first. */
    private Step lastStep;

    private int omittedSteps;

    private Trace(Explanation head, long receivedNanos, Ticker ticker) {
        this.head = head;
        this.receivedNanos = receivedNanos;
        this.ticker = ticker;
    }

    /** Returns a trace, without steps, of a request received at the given time of the ticker. */
    static Trace create(Explanation head, long receivedNanos, Ticker ticker) {
        return new Trace(head, receivedNanos, ticker);
    }

    /**
     * Adds a step unless it equals the previous one. A step beyond the maximum is only counted; the last slot is
     * reserved for {@link Step.Ended}.
     */
    public synchronized void addStep(Step step) {
        if (step.equals(lastStep)) {
            return;
        }
        lastStep = step;
        boolean isFinal = step instanceof Step.Ended;
        if (steps.size() >= (isFinal ? MAX_STEPS : MAX_STEPS - 1)) {
            omittedSteps++;
            return;
        }
        steps.add(new TimedStep(elapsedMillis(), step));
    }

    /** Returns the time since the receipt of the request in milliseconds. */
    public long elapsedMillis() {
        return (ticker.nanos() - receivedNanos) / NANOS_PER_MILLI;
    }

    /** Returns the explanation with the steps up to now. */
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
                omittedSteps);
    }
}
