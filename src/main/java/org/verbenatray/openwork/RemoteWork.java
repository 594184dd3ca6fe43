package org.verbenatray.openwork;

import java.util.HashMap;
import java.util.Map;
import java.util.function.DoubleSupplier;
import org.verbenatray.time.Deadline;
import org.verbenatray.time.Ticker;

/**
 * The open work of the other instances at each engine, as received in their notices.
 *
 * <p>Work expires unless its instance confirms it. Not thread-safe: all calls come from one thread.
 */
public final class RemoteWork {
    /** The time after which unconfirmed work expires; more than three confirmation intervals. */
    private static final long EXPIRY_MILLIS = 1_000;

    /** The same where each peer represents several instances, which confirm less often. */
    private static final long SAMPLE_EXPIRY_MILLIS = 2_000;

    private final Ticker ticker;

    /** The number of instances that each peer represents. */
    private final DoubleSupplier weight;

    /** The reported work by the name of the instance. */
    private final Map<String, Reporter> reporters = new HashMap<>();

    private RemoteWork(Ticker ticker, DoubleSupplier weight) {
        this.ticker = ticker;
        this.weight = weight;
    }

    /** Creates an object without any work; the weight is the number of instances that each peer represents. */
    public static RemoteWork create(Ticker ticker, DoubleSupplier weight) {
        return new RemoteWork(ticker, weight);
    }

    /** Applies a notice, unless a newer one of the same instance was applied. */
    public void apply(WorkNotice notice) {
        Reporter reporter = reporters.get(notice.instance());
        if (reporter == null || reporter.incarnation < notice.incarnation()) {
            reporter = new Reporter(notice.incarnation());
            reporters.put(notice.instance(), reporter);
        }
        if (notice.incarnation() < reporter.incarnation || notice.sequence() <= reporter.sequence) {
            return;
        }
        reporter.sequence = notice.sequence();
        long expiryMillis = weight.getAsDouble() <= 1 ? EXPIRY_MILLIS : SAMPLE_EXPIRY_MILLIS;
        Deadline expiry = Deadline.afterMillis(ticker.nanos(), expiryMillis);
        for (Map.Entry<String, EngineWork> engine : notice.workByEngine().entrySet()) {
            if (engine.getValue().equals(EngineWork.NONE)) {
                reporter.engines.remove(engine.getKey());
            } else {
                reporter.engines.put(engine.getKey(), new ReportedWork(engine.getValue(), expiry));
            }
        }
    }

    /** Returns the unexpired work of all other instances at the engine with the given boot id. */
    public EngineWork workAt(String bootId) {
        long now = ticker.nanos();
        EngineWork sum = EngineWork.NONE;
        for (Reporter reporter : reporters.values()) {
            ReportedWork reported = reporter.engines.get(bootId);
            if (reported != null && !reported.expiry().hasPassed(now)) {
                sum = sum.plus(reported.work());
            }
        }
        double factor = weight.getAsDouble();
        return factor == 1 ? sum : sum.times(factor);
    }

    /** Removes the expired work. */
    public void removeExpired() {
        long now = ticker.nanos();
        reporters
                .values()
                .forEach(reporter -> reporter.engines
                        .values()
                        .removeIf(reported -> reported.expiry().hasPassed(now)));
        reporters.values().removeIf(reporter -> reporter.engines.isEmpty());
    }

    /** The work that one process of an instance has reported. */
    private static final class Reporter {
        private final long incarnation;

        /** The work by the boot id of the engine. */
        private final Map<String, ReportedWork> engines = new HashMap<>();

        /** The sequence number of the newest notice, -1 before the first. */
        private long sequence = -1;

        Reporter(long incarnation) {
            this.incarnation = incarnation;
        }
    }

    /**
     * The reported work at one engine.
     *
     * @param work the work
     * @param expiry the time at which it expires unless it is confirmed
     */
    private record ReportedWork(EngineWork work, Deadline expiry) {}
}
