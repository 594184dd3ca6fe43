package org.verbenatray.resilience;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
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

    /** The lost runs that can still be attributed, by boot id, then by request or part of prompts. */
    private final Map<String, Map<String, LostRun>> lostRuns = new HashMap<>();

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
    public void recordLost(String suspect, String boot) {
        Deadline endKnownUntil = endedBoots.get(boot);
        if (endKnownUntil != null && !endKnownUntil.hasPassed(ticker.nanos())) {
            onCrash.accept(new Crash(suspect, boot));
            return;
        }
        putLost(suspect, boot, Optional.empty());
    }

    /**
     * Records that a request was sent to a server and that its response ended with the connection: the server has
     * completed it or has ended. It counts as lost until the server is found to live; the task is run then.
     */
    public void recordUnproved(String suspect, String boot, Runnable onProved) {
        putLost(suspect, boot, Optional.of(onProved));
    }

    /** Records that a server has run a request to its end; a run that was taken for lost before was only late. */
    public void recordCompleted(String suspect, String boot) {
        Map<String, LostRun> lost = lostRuns.get(boot);
        if (lost != null) {
            lost.remove(suspect);
        }
    }

    /** Records that a server has responded to a check sent at the given time in nanoseconds of the ticker. */
    public void recordChecked(String boot, long sentNanos) {
        Map<String, LostRun> lost = lostRuns.getOrDefault(boot, Map.of());
        List<LostRun> proved = lost.values().stream()
                .filter(run -> run.onProved.isPresent() && run.lostNanos - sentNanos <= 0)
                .toList();
        lost.values().removeAll(proved);
        proved.forEach(run -> run.onProved.get().run());
    }

    private void putLost(String suspect, String boot, Optional<Runnable> onProved) {
        LostRun run = new LostRun(ticker.nanos(), onProved, relatedUntil());
        lostRuns.computeIfAbsent(boot, key -> new HashMap<>()).put(suspect, run);
    }

    /** Records that a boot of a server has ended. */
    public void recordEnd(String boot) {
        endedBoots.put(boot, relatedUntil());
        Map<String, LostRun> lost = lostRuns.remove(boot);
        if (lost == null) {
            return;
        }
        lost.forEach((suspect, run) -> {
            if (!run.relatedUntil.hasPassed(ticker.nanos())) {
                onCrash.accept(new Crash(suspect, boot));
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
        lostRuns.values().forEach(lost -> lost.values().removeIf(run -> run.relatedUntil.hasPassed(now)));
        lostRuns.values().removeIf(Map::isEmpty);
    }

    private Deadline relatedUntil() {
        return Deadline.afterMillis(ticker.nanos(), RELATED_MILLIS);
    }

    /**
     * A run that ended without a response, or with one that may have been cut.
     *
     * @param lostNanos when it ended, in nanoseconds of the ticker
     * @param onProved run if its response turns out to be complete; empty if there was no complete response
     * @param relatedUntil until when the end of the server is attributed to it
     */
    private record LostRun(long lostNanos, Optional<Runnable> onProved, Deadline relatedUntil) {}
}
