package org.verbenatray.instance;

import java.util.HashMap;
import java.util.Map;
import org.verbenatray.time.Ticker;

/**
 * Detects that this instance is partitioned from the servers: several engines answered other instances after they had
 * failed here, and none has answered here since. Failed are polls without an answer, or new connections that could not
 * be opened, as kept connections may outlive a partition. Engines that answer nobody are no evidence. Used on one
 * thread.
 */
final class ServerReach {
    /** The number of engines that must have failed here and answered others, if there are so many. */
    private static final int MIN_ENGINES = 3;

    /** The time in nanoseconds after a failure from which an answer to others counts; notices take some time. */
    private static final long MIN_LATER_NANOS = 100_000_000L;

    /** The age in nanoseconds beyond which an answer to another instance is no evidence. */
    private static final long MAX_EVIDENCE_NANOS = 3_000_000_000L;

    private final Ticker ticker;

    /** When each engine first left a poll unanswered since the last answer of any, by boot id. */
    private final Map<String, Long> silentNanos = new HashMap<>();

    /** When each server first refused a new connection since the last one to any was opened, by boot id. */
    private final Map<String, Long> refusedNanos = new HashMap<>();

    /** When each engine last answered another instance, as far as known, by boot id. */
    private final Map<String, Long> answeredOthersNanos = new HashMap<>();

    private ServerReach(Ticker ticker) {
        this.ticker = ticker;
    }

    /** Creates an object that counts the servers as reachable. */
    static ServerReach create(Ticker ticker) {
        return new ServerReach(ticker);
    }

    /** Records whether an engine has answered a poll. */
    void onPoll(String boot, boolean answered) {
        if (answered) {
            silentNanos.clear();
        } else {
            silentNanos.putIfAbsent(boot, ticker.nanos());
        }
    }

    /** Records that a new connection was opened. */
    void onConnected() {
        refusedNanos.clear();
    }

    /** Records that no new connection to a server could be opened. */
    void onNotConnected(String boot) {
        refusedNanos.putIfAbsent(boot, ticker.nanos());
    }

    /** Records that an engine answered another instance the given number of milliseconds ago. */
    void onAnsweredOther(String boot, long agoMillis) {
        answeredOthersNanos.merge(boot, ticker.nanos() - agoMillis * 1_000_000, Math::max);
    }

    /** Returns whether polls or new connections have failed lately, so that a new connection would show more. */
    boolean isSuspicious() {
        return !silentNanos.isEmpty() || !refusedNanos.isEmpty();
    }

    /** Returns whether engines that answer others leave the polls of this instance unanswered. */
    boolean enginesSilent(int engines) {
        return enoughAnswerOthers(silentNanos, engines);
    }

    /** Returns whether this instance is partitioned from the servers that others reach. */
    boolean isPartitioned(int engines) {
        return enginesSilent(engines) || enoughAnswerOthers(refusedNanos, engines);
    }

    /** Removes what is too old to be evidence. */
    void removeExpired() {
        long now = ticker.nanos();
        answeredOthersNanos.values().removeIf(answered -> now - answered > MAX_EVIDENCE_NANOS);
    }

    /** Returns whether enough of the engines that failed here have answered others since. */
    private boolean enoughAnswerOthers(Map<String, Long> failedNanos, int engines) {
        long answeringOthers = failedNanos.entrySet().stream()
                .filter(failed -> answeredOtherSince(failed.getKey(), failed.getValue()))
                .count();
        return answeringOthers >= Math.max(1, Math.min(MIN_ENGINES, engines));
    }

    private boolean answeredOtherSince(String boot, long sinceNanos) {
        Long answered = answeredOthersNanos.get(boot);
        return answered != null
                && answered - sinceNanos >= MIN_LATER_NANOS
                && ticker.nanos() - answered <= MAX_EVIDENCE_NANOS;
    }
}
