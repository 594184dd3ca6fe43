package org.verbenatray.relay;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import org.verbenatray.backends.Backend;
import org.verbenatray.time.Ticker;

/**
 * The servers to which one request was sent, and which server may get it next: one that was not tried, or, for a
 * request that may have run and can end well in no other way, one that was tried. Used on one thread.
 */
final class TriedServers {
    private final Ticker ticker;

    /** Returns the best server except the given ones. */
    private final Function<List<Backend>, Optional<Backend>> bestExcept;

    private final List<Backend> tried = new ArrayList<>();

    private TriedServers(Ticker ticker, Function<List<Backend>, Optional<Backend>> bestExcept) {
        this.ticker = ticker;
        this.bestExcept = bestExcept;
    }

    /**
     * Returns a collection without servers.
     *
     * @param ticker the clock
     * @param bestExcept returns the best server except the given ones
     */
    static TriedServers empty(Ticker ticker, Function<List<Backend>, Optional<Backend>> bestExcept) {
        return new TriedServers(ticker, bestExcept);
    }

    /** Records that a server was tried. */
    void add(Backend server) {
        tried.add(server);
    }

    /**
     * Returns the best server that was not tried. If there is none and tried servers are allowed, returns the best that
     * accepts requests, if possible not the last one tried.
     */
    Optional<Backend> choose(boolean triedAllowed) {
        Optional<Backend> untried = bestExcept.apply(tried);
        if (untried.isPresent() || !triedAllowed || tried.isEmpty()) {
            return untried;
        }
        Backend last = tried.get(tried.size() - 1);
        return acceptingExcept(List.of(last)).or(() -> acceptingExcept(List.of()));
    }

    /** Returns whether a server accepts requests that was not tried and is not the given one. */
    boolean otherAccepts(Backend current) {
        List<Backend> excluded = new ArrayList<>(tried);
        excluded.add(current);
        return acceptingExcept(excluded).isPresent();
    }

    private Optional<Backend> acceptingExcept(List<Backend> excluded) {
        long now = ticker.nanos();
        return bestExcept.apply(excluded).filter(server -> !server.paused(now));
    }
}
