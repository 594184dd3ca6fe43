package org.verbenatray.instance;

import java.util.HashSet;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.verbenatray.time.Deadline;
import org.verbenatray.time.Ticker;

/**
 * Detects that this instance is partitioned from the servers while other instances have work there: for some time no
 * poll of several engines was answered, or no new connection to several servers could be opened, as kept connections
 * may outlive a partition. Used on one thread.
 */
final class ServerReach {
    /**
     * The time in milliseconds without a success. A single sound server may pause longer, but not several at once; the
     * readiness checks must fail twice before callers are sent elsewhere.
     */
    private static final long FAILING_MILLIS = 500;

    /** The number of servers that must have failed, if there are so many engines. */
    private static final int MIN_FAILED_SERVERS = 3;

    /** The time in milliseconds after which servers count as down for all if no other instance has work there. */
    private static final long MAX_IDLE_MILLIS = 3_000;

    private final Ticker ticker;

    /** Whether other instances have work at the engines. */
    private final BooleanSupplier othersHaveWork;

    /** The engines that have left a poll unanswered since the last answer of any, by boot id. */
    private final Set<String> silent = new HashSet<>();

    /** The servers to which no new connection could be opened since the last one to any, by boot id. */
    private final Set<String> refusing = new HashSet<>();

    /** When the polls have failed for long enough. */
    private Deadline silentFrom;

    /** When new connections have failed for long enough. */
    private Deadline refusingFrom;

    /** When the servers count as down for all, unless others have work there. */
    private Deadline idleFrom;

    private boolean partitioned;

    private ServerReach(Ticker ticker, BooleanSupplier othersHaveWork) {
        this.ticker = ticker;
        this.othersHaveWork = othersHaveWork;
        this.silentFrom = Deadline.afterMillis(ticker.nanos(), FAILING_MILLIS);
        this.refusingFrom = silentFrom;
    }

    /** Creates an object that counts the servers as reachable. */
    static ServerReach create(Ticker ticker, BooleanSupplier othersHaveWork) {
        return new ServerReach(ticker, othersHaveWork);
    }

    /** Records whether an engine has answered a poll. */
    void onPoll(String boot, boolean answered) {
        if (answered) {
            silent.clear();
            silentFrom = Deadline.afterMillis(ticker.nanos(), FAILING_MILLIS);
        } else {
            silent.add(boot);
        }
    }

    /** Records that a new connection was opened. */
    void onConnected() {
        refusing.clear();
    }

    /** Records that no new connection to a server could be opened. */
    void onNotConnected(String boot) {
        if (refusing.isEmpty()) {
            refusingFrom = Deadline.afterMillis(ticker.nanos(), FAILING_MILLIS);
        }
        refusing.add(boot);
    }

    /** Returns whether a new connection has failed since the last one was opened. */
    boolean suspectsNewConnections() {
        return !refusing.isEmpty();
    }

    /** Returns whether this instance was partitioned at the last update and no engine answers. */
    boolean enginesSilent() {
        return partitioned && silentFrom.hasPassed(ticker.nanos());
    }

    /** Updates the state and returns whether this instance is partitioned from the servers that others reach. */
    boolean update(int engines) {
        long now = ticker.nanos();
        int minServers = Math.max(1, Math.min(MIN_FAILED_SERVERS, engines));
        boolean failing = silent.size() >= minServers && silentFrom.hasPassed(now)
                || refusing.size() >= minServers && refusingFrom.hasPassed(now);
        if (othersHaveWork.getAsBoolean()) {
            idleFrom = Deadline.afterMillis(now, MAX_IDLE_MILLIS);
            partitioned = failing;
        } else {
            partitioned = partitioned && failing && !idleFrom.hasPassed(now);
        }
        return partitioned;
    }
}
