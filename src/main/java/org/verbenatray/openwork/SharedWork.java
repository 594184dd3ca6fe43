package org.verbenatray.openwork;

import java.util.HashMap;
import java.util.Map;
import java.util.function.DoubleSupplier;
import org.verbenatray.time.Deadline;
import org.verbenatray.time.Ticker;

/** The open work that other instances have at each engine, as they told it; used on one thread. */
public final class SharedWork {
    /** The time in milliseconds after which work that is not confirmed counts no more. */
    private static final long KEPT_MILLIS = 1_000;

    /** The clock. */
    private final Ticker ticker;

    /** How many instances each one that shares stands for. */
    private final DoubleSupplier weight;

    /** What each instance has told. */
    private final Map<String, Teller> tellers = new HashMap<>();

    /** Creates an empty board. */
    private SharedWork(Ticker ticker, DoubleSupplier weight) {
        this.ticker = ticker;
        this.weight = weight;
    }

    /** Returns a board that knows no work yet, given how many instances each one that shares stands for. */
    public static SharedWork create(Ticker ticker, DoubleSupplier weight) {
        return new SharedWork(ticker, weight);
    }

    /** Takes a notice, unless a newer one of the same instance was taken. */
    public void take(WorkNotice notice) {
        Teller teller = tellers.get(notice.instance());
        if (teller == null || teller.start < notice.start()) {
            teller = new Teller(notice.start());
            tellers.put(notice.instance(), teller);
        }
        if (notice.start() < teller.start || notice.sequence() <= teller.sequence) {
            return;
        }
        teller.sequence = notice.sequence();
        Deadline until = Deadline.afterMillis(ticker.nanos(), KEPT_MILLIS);
        for (Map.Entry<String, EngineWork> engine : notice.engines().entrySet()) {
            if (engine.getValue().equals(EngineWork.NONE)) {
                teller.engines.remove(engine.getKey());
            } else {
                teller.engines.put(engine.getKey(), new Told(engine.getValue(), until));
            }
        }
    }

    /** Returns the work of the other instances at an engine, by the start of the engine. */
    public EngineWork others(String boot) {
        long now = ticker.nanos();
        EngineWork sum = EngineWork.NONE;
        for (Teller teller : tellers.values()) {
            Told told = teller.engines.get(boot);
            if (told != null && !told.until().passed(now)) {
                sum = sum.plus(told.work());
            }
        }
        double factor = weight.getAsDouble();
        return factor == 1 ? sum : sum.times(factor);
    }

    /** Forgets what is no longer confirmed. */
    public void forget() {
        long now = ticker.nanos();
        tellers.values()
                .forEach(teller ->
                        teller.engines.values().removeIf(told -> told.until().passed(now)));
        tellers.values().removeIf(teller -> teller.engines.isEmpty());
    }

    /** What one instance has told since a start of its process. */
    private static final class Teller {
        /** The start. */
        private final long start;

        /** The work at each engine. */
        private final Map<String, Told> engines = new HashMap<>();

        /** The number of the newest notice. */
        private long sequence = -1;

        /** Creates an instance that has told nothing yet. */
        Teller(long start) {
            this.start = start;
        }
    }

    /**
     * Work at an engine.
     *
     * @param work the work
     * @param until when it counts no more unless it is confirmed
     */
    private record Told(EngineWork work, Deadline until) {}
}
