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
 * Counts server crashes by the fingerprint of the request that the server was running, so that a request that keeps
 * crashing servers is blocked.
 *
 * <p>A broken connection alone proves no crash: it counts once the boot of the server that it was connected to has
 * ended. A boot is one run of a server process.
 */
public final class CrashLedger {
    private static final int CRASHES_TO_BLOCK = 3;

    /** Time within which the server must end for a broken connection to count as a crash. */
    private static final long SUSPECT_MILLIS = 6_000;

    /** Time since its last crash after which the crashes of a request are forgotten. */
    private static final long RETENTION_MILLIS = 120_000;

    private final Ticker ticker;

    /** Receives each new crash that this instance has detected. */
    private final Consumer<Crash> onCrash;

    /** When the suspicion against a request expires, by boot, then by fingerprint. */
    private final Map<String, Map<String, Deadline>> suspectsByBoot = new HashMap<>();

    private final Map<String, CrashHistory> crashesByFingerprint = new HashMap<>();

    private CrashLedger(Ticker ticker, Consumer<Crash> onCrash) {
        this.ticker = ticker;
        this.onCrash = onCrash;
    }

    /** Creates an empty ledger that passes each new crash detected by this instance to the given consumer. */
    public static CrashLedger create(Ticker ticker, Consumer<Crash> onCrash) {
        return new CrashLedger(ticker, onCrash);
    }

    /** Records that the connection of a request to a server broke without a response, and so suspects the request. */
    public void recordBrokenConnection(String fingerprint, String boot) {
        suspectsByBoot
                .computeIfAbsent(boot, key -> new HashMap<>())
                .put(fingerprint, Deadline.afterMillis(ticker.nanos(), SUSPECT_MILLIS));
    }

    /**
     * Records that a boot of a server has ended: each request suspected recently enough counts as a cause of the crash.
     */
    public void recordServerEnd(String boot) {
        Map<String, Deadline> suspects = suspectsByBoot.remove(boot);
        if (suspects == null) {
            return;
        }
        suspects.forEach((fingerprint, expiry) -> {
            if (!expiry.hasPassed(ticker.nanos()) && recordCrash(new Crash(fingerprint, boot))) {
                onCrash.accept(new Crash(fingerprint, boot));
            }
        });
    }

    /** Records a crash that this or another instance has detected; returns false if it was known. */
    public boolean recordCrash(Crash crash) {
        CrashHistory history = crashesByFingerprint.computeIfAbsent(crash.fingerprint(), key -> new CrashHistory());
        history.expiry = Deadline.afterMillis(ticker.nanos(), RETENTION_MILLIS);
        return history.boots.add(crash.boot());
    }

    /** Returns whether a request has crashed so many servers that it must not run again. */
    public boolean isBlocked(String fingerprint) {
        return crashCount(fingerprint) >= CRASHES_TO_BLOCK;
    }

    /** Returns the number of servers that a request has crashed, as far as it is known here. */
    public int crashCount(String fingerprint) {
        CrashHistory history = crashesByFingerprint.get(fingerprint);
        return history == null ? 0 : history.boots.size();
    }

    /** Returns the number of servers that each request has crashed, by fingerprint. */
    public Map<String, Integer> crashCounts() {
        Map<String, Integer> counts = new HashMap<>();
        crashesByFingerprint.forEach((fingerprint, history) -> counts.put(fingerprint, history.boots.size()));
        return counts;
    }

    /** Removes expired suspicions and crashes. */
    public void removeExpired() {
        long now = ticker.nanos();
        crashesByFingerprint.values().removeIf(history -> history.expiry.hasPassed(now));
        for (Iterator<Map<String, Deadline>> each = suspectsByBoot.values().iterator(); each.hasNext(); ) {
            Map<String, Deadline> suspects = each.next();
            suspects.values().removeIf(expiry -> expiry.hasPassed(now));
            if (suspects.isEmpty()) {
                each.remove();
            }
        }
    }

    /** The boots of servers that one request has crashed. */
    private static final class CrashHistory {
        private final Set<String> boots = new HashSet<>();

        private Deadline expiry;
    }

    /**
     * A crash of a server while it was running a request.
     *
     * @param fingerprint the fingerprint of the request
     * @param boot the boot id of the server
     */
    public record Crash(String fingerprint, String boot) {}
}
