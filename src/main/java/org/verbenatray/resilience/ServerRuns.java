package org.verbenatray.resilience;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.verbenatray.time.Deadline;
import org.verbenatray.time.Ticker;

/**
 * Attributes the end of a server process to the requests that it was running.
 *
 * <p>A run that is lost, that is, ends without a response, proves nothing: connections break and callers leave. It
 * counts as a crash if the process has ended as well, whichever of the two becomes known first. Not thread-safe: all
 * calls come from one thread.
 */
public final class ServerRuns {
    /**
     * Longest time between the loss of a run and the news that its server has ended; the list tells the end of a silent
     * server only after several heartbeat intervals.
     */
    private static final long RELATED_MILLIS = 6_000;

    private final Ticker ticker;

    private final Consumer<Crash> onCrash;

    /** Until when a lost run can still be attributed, by boot id, then by fingerprint. */
    private final Map<String, Map<String, Deadline>> lostRuns = new HashMap<>();

    /** Until when a run lost at an ended boot is attributed to its end, by boot id. */
    private final Map<String, Deadline> endedBoots = new HashMap<>();

    private ServerRuns(Ticker ticker, Consumer<Crash> onCrash) {
        this.ticker = ticker;
        this.onCrash = onCrash;
    }

    /** Creates an object that passes each crash to the consumer; one crash may be passed more than once. */
    public static ServerRuns create(Ticker ticker, Consumer<Crash> onCrash) {
        return new ServerRuns(ticker, onCrash);
    }

    /** Records that a request was sent to a server and that its run has ended without a response. */
    public void recordLost(String fingerprint, String boot) {
        Deadline endKnownUntil = endedBoots.get(boot);
        if (endKnownUntil != null && !endKnownUntil.hasPassed(ticker.nanos())) {
            onCrash.accept(new Crash(fingerprint, boot));
            return;
        }
        lostRuns.computeIfAbsent(boot, key -> new HashMap<>()).put(fingerprint, relatedUntil());
    }

    /** Records that a boot of a server has ended. */
    public void recordEnd(String boot) {
        endedBoots.put(boot, relatedUntil());
        Map<String, Deadline> lost = lostRuns.remove(boot);
        if (lost == null) {
            return;
        }
        lost.forEach((fingerprint, until) -> {
            if (!until.hasPassed(ticker.nanos())) {
                onCrash.accept(new Crash(fingerprint, boot));
            }
        });
    }

    /** Records a complete response of a server, which takes back the news that this boot of it has ended. */
    public void recordAlive(String boot) {
        endedBoots.remove(boot);
    }

    /** Removes what can no longer be attributed. */
    public void removeExpired() {
        long now = ticker.nanos();
        endedBoots.values().removeIf(until -> until.hasPassed(now));
        lostRuns.values().forEach(lost -> lost.values().removeIf(until -> until.hasPassed(now)));
        lostRuns.values().removeIf(Map::isEmpty);
    }

    private Deadline relatedUntil() {
        return Deadline.afterMillis(ticker.nanos(), RELATED_MILLIS);
    }
}
