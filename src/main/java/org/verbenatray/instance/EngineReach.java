package org.verbenatray.instance;

import java.util.HashSet;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.verbenatray.time.Deadline;
import org.verbenatray.time.Ticker;

/**
 * Detects that this instance reaches none of the engines while other instances do: no poll of several engines was
 * answered for some time, and the others have work there. Used on one thread.
 */
final class EngineReach {
    /** The time in milliseconds without an answer of any engine; a single sound engine may pause longer. */
    private static final long SILENCE_MILLIS = 1_000;

    /** The number of engines that must have left polls unanswered, if there are so many. */
    private static final int MIN_SILENT_ENGINES = 3;

    /** The time in milliseconds after which engines count as down for all if no other instance has work there. */
    private static final long MAX_IDLE_MILLIS = 3_000;

    private final Ticker ticker;

    /** Whether other instances have work at the engines. */
    private final BooleanSupplier othersHaveWork;

    /** The engines that have left a poll unanswered since the last answer of any, by boot id. */
    private final Set<String> silent = new HashSet<>();

    /** When the instance counts as partitioned if no engine answers. */
    private Deadline silentFrom;

    /** When the engines count as down for all, unless others have work there. */
    private Deadline idleFrom;

    private boolean partitioned;

    private EngineReach(Ticker ticker, BooleanSupplier othersHaveWork) {
        this.ticker = ticker;
        this.othersHaveWork = othersHaveWork;
        this.silentFrom = Deadline.afterMillis(ticker.nanos(), SILENCE_MILLIS);
    }

    /** Creates an object that counts the engines as reachable. */
    static EngineReach create(Ticker ticker, BooleanSupplier othersHaveWork) {
        return new EngineReach(ticker, othersHaveWork);
    }

    /** Records whether an engine has answered a poll. */
    void onPoll(String boot, boolean answered) {
        if (answered) {
            silent.clear();
            silentFrom = Deadline.afterMillis(ticker.nanos(), SILENCE_MILLIS);
        } else {
            silent.add(boot);
        }
    }

    /** Updates the state and returns whether this instance is partitioned from the engines that others reach. */
    boolean update(int engines) {
        long now = ticker.nanos();
        boolean unanswered = silentFrom.hasPassed(now)
                && !silent.isEmpty()
                && silent.size() >= Math.min(MIN_SILENT_ENGINES, engines);
        if (othersHaveWork.getAsBoolean()) {
            idleFrom = Deadline.afterMillis(now, MAX_IDLE_MILLIS);
            partitioned = unanswered;
        } else {
            partitioned = partitioned && unanswered && !idleFrom.hasPassed(now);
        }
        return partitioned;
    }
}
