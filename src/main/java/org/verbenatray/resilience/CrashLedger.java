package org.verbenatray.resilience;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.verbenatray.time.Deadline;
import org.verbenatray.time.Ticker;

/**
 * Counts the starts of servers that ended while they worked on one and the same request, by its fingerprint.
 *
 * <p>A broken connection alone proves nothing: it counts once the start of the server that it led to has ended.
 */
public final class CrashLedger {
    /** The crashes after which a request is refused. */
    private static final int CRASHES_TO_REFUSE = 3;

    /** How long a broken connection may wait for the news that its server ended, in milliseconds. */
    private static final long SUSPICION_MILLIS = 6_000;

    /** How long crashes are remembered, in milliseconds. */
    private static final long MEMORY_MILLIS = 120_000;

    /** The clock. */
    private final Ticker ticker;

    /** Hears of each fresh crash that this instance has seen. */
    private final Consumer<Crash> onCrash;

    /** The fingerprints whose connections to a start of a server broke. */
    private final Map<String, Map<String, Deadline>> suspicions = new HashMap<>();

    /** The starts of servers that each fingerprint has ended. */
    private final Map<String, Crashes> crashes = new HashMap<>();

    /** Creates an empty ledger. */
    private CrashLedger(Ticker ticker, Consumer<Crash> onCrash) {
        this.ticker = ticker;
        this.onCrash = onCrash;
    }

    /** Returns an empty ledger that reports what this instance finds. */
    public static CrashLedger create(Ticker ticker, Consumer<Crash> onCrash) {
        return new CrashLedger(ticker, onCrash);
    }

    /** Notes that the connection of a request to a start of a server broke without an answer. */
    public void broke(String fingerprint, String boot) {
        suspicions
                .computeIfAbsent(boot, key -> new HashMap<>())
                .put(fingerprint, Deadline.afterMillis(ticker.nanos(), SUSPICION_MILLIS));
    }

    /** Notes that a start of a server has ended. */
    public void ended(String boot) {
        Map<String, Deadline> suspects = suspicions.remove(boot);
        if (suspects == null) {
            return;
        }
        suspects.forEach((fingerprint, until) -> {
            if (!until.passed(ticker.nanos()) && learn(new Crash(fingerprint, boot))) {
                onCrash.accept(new Crash(fingerprint, boot));
            }
        });
    }

    /** Takes a crash that this or another instance found and returns whether it was new. */
    public boolean learn(Crash crash) {
        Crashes known = crashes.computeIfAbsent(crash.fingerprint(), key -> new Crashes());
        known.until = Deadline.afterMillis(ticker.nanos(), MEMORY_MILLIS);
        return known.boots.add(crash.boot());
    }

    /** Returns whether a request has crashed so many servers that it must not run again. */
    public boolean refuses(String fingerprint) {
        Crashes known = crashes.get(fingerprint);
        return known != null && known.boots.size() >= CRASHES_TO_REFUSE;
    }

    /** Forgets what is too old. */
    public void forget() {
        long now = ticker.nanos();
        crashes.values().removeIf(known -> known.until.passed(now));
        for (Iterator<Map<String, Deadline>> each = suspicions.values().iterator(); each.hasNext(); ) {
            Map<String, Deadline> suspects = each.next();
            suspects.values().removeIf(until -> until.passed(now));
            if (suspects.isEmpty()) {
                each.remove();
            }
        }
    }

    /** The starts of servers that one fingerprint has ended. */
    private static final class Crashes {
        /** The starts. */
        private final Set<String> boots = new HashSet<>();

        /** When they are forgotten. */
        private Deadline until;
    }

    /**
     * A start of a server that ended while it worked on a request.
     *
     * @param fingerprint the fingerprint of the request
     * @param boot the start of the server
     */
    public record Crash(String fingerprint, String boot) {}
}
