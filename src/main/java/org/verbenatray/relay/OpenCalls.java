package org.verbenatray.relay;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.LongStream;
import org.verbenatray.scheduling.RecentDurations;
import org.verbenatray.telemetry.Event;
import org.verbenatray.time.Ticker;

/**
 * The requests that are being relayed, and how long those before them took: what a planned stop needs to know. Used on
 * one thread.
 */
public final class OpenCalls {
    private static final Logger log = System.getLogger(OpenCalls.class.getName());

    private final Ticker ticker;

    private final RecentDurations durations = RecentDurations.create();

    /** In order of their receipt. */
    private final Set<RelayCall> open = new LinkedHashSet<>();

    private OpenCalls(Ticker ticker) {
        this.ticker = ticker;
    }

    /** Creates an object without calls. */
    public static OpenCalls create(Ticker ticker) {
        return new OpenCalls(ticker);
    }

    /** Adds a call, which begins. */
    void add(RelayCall call) {
        open.add(call);
    }

    /** Removes a call that has ended; its duration counts if a server has answered it. */
    void remove(RelayCall call, boolean answered) {
        open.remove(call);
        if (answered) {
            durations.record(call.route().name(), call.times().elapsedMillis(), ticker.nanos());
        }
    }

    /**
     * Returns the time in milliseconds in which a request that is sent now is expected to end: by its deadline at the
     * latest, and in the time in which most requests of its route end. If none has ended lately, only the deadline is
     * known.
     */
    long expectedMillis(RelayCall call) {
        String route = call.route().name();
        LongStream openMillis = open.stream()
                .filter(other -> other.route().name().equals(route))
                .mapToLong(other -> other.times().elapsedMillis());
        long remainingMillis = call.times().remainingMillis();
        return Math.min(
                remainingMillis,
                durations.expectedMillis(route, openMillis, ticker.nanos()).orElse(remainingMillis));
    }

    /**
     * Ends all calls shortly before the process ends, so that each caller learns whether its request may have run, and
     * a stream is not taken for complete.
     */
    public void endAll() {
        if (open.isEmpty()) {
            return;
        }
        Event.named("open_requests_ended").with("count", open.size()).log(log, Level.WARNING);
        List.copyOf(open).forEach(call -> call.guard().run(call::endBeforeProcess));
    }
}
