package org.verbenatray.backends;

import java.util.Optional;
import java.util.OptionalLong;
import org.verbenatray.openwork.EngineWork;
import org.verbenatray.time.Deadline;

/**
 * The state of one process of a backend server as observed by this instance: its open requests, failures and load.
 *
 * <p>A server that restarts gets a new object. Not thread-safe: all calls come from one thread.
 */
public final class Backend {
    /** The weight of a new value in the exponential moving averages. */
    private static final double EWMA_WEIGHT = 0.2;

    /** The pause after the first of several consecutive failures; each further failure doubles it. */
    private static final long FIRST_PAUSE_MILLIS = 400;

    private static final long MAX_PAUSE_MILLIS = 3_200;

    /** The pause after the server rejected a request. */
    private static final long REJECTION_PAUSE_MILLIS = 250;

    private BackendEntry entry;

    /** True once the server is leaving or has ended. */
    private boolean leaving;

    /** True once the server has said that it is leaving, in its entry or in a response. */
    private boolean announcedLeaving;

    /** The number of open requests of this instance. */
    private int openRequests;

    /** The outstanding regular prefill work of this instance, in microseconds of a prefill engine. */
    private long regularMicros;

    /** The outstanding deferred prefill work of this instance, in microseconds of a prefill engine. */
    private long deferredMicros;

    private int consecutiveFailures;

    /** The end of the last pause; null if there was none since the last usable response. */
    private Deadline pausedUntil;

    /** Until when the server wants no request of this instance; null if it never said so. */
    private Deadline turnedAwayUntil;

    /** The moving average of failed responses, 0 to 1. */
    private double failureRate;

    /** The moving average of the delay beyond the expected time, before decay. */
    private double delayMillis;

    /** The last reported load of the engine, null until the first report. */
    private BackendLoad load;

    /** The time at which the load was received. */
    private long loadNanos;

    /** True if the last attempt to reach the server failed. */
    private boolean unreachable;

    /** The time of the last update of the delay. */
    private long delayNanos;

    /** The time of the last answer to any call of this instance; null before the first. */
    private Long answeredNanos;

    private Backend(BackendEntry entry) {
        this.entry = entry;
        this.leaving = entry.leaving();
        this.announcedLeaving = entry.leaving();
    }

    /** Creates the state of a server to which no request was sent yet. */
    public static Backend of(BackendEntry entry) {
        return new Backend(entry);
    }

    /** Returns the current entry of the server in the server list. */
    public BackendEntry entry() {
        return entry;
    }

    /** Replaces the entry by a newer one of the same process; a leaving server stays leaving. */
    void update(BackendEntry newer) {
        entry = newer;
        if (newer.leaving()) {
            recordLeaving();
        }
    }

    /** Records that the server has said that it is leaving, so that it gets no new requests. */
    void recordLeaving() {
        leaving = true;
        announcedLeaving = true;
    }

    /** Records that the server has ended, so that it gets no new requests. */
    public void markEnded() {
        leaving = true;
    }

    /** Returns true if the server has said that it is leaving; its end is then no crash. */
    public boolean announcedLeaving() {
        return announcedLeaving;
    }

    /** Returns true if the server gets no new requests because it is leaving or has ended. */
    public boolean leaving() {
        return leaving;
    }

    /** Adds a request that is sent to the server, with its prefill work. */
    public void addRequest(PrefillWork work) {
        openRequests++;
        add(work, 1);
    }

    /** Subtracts the prefill work of an open request, either after its prefill or when the request ends. */
    public void removePrefillWork(PrefillWork work) {
        add(work, -1);
    }

    /** Subtracts a request that has ended. */
    public void removeRequest() {
        openRequests--;
    }

    /** Returns the open work of this instance at the server. */
    public EngineWork openWork() {
        return new EngineWork(regularMicros, deferredMicros, openRequests);
    }

    /** Stores the load that the engine reported at the given time, unless a later one is known. */
    public void updateLoad(BackendLoad newLoad, long reportedNanos) {
        if (load == null || reportedNanos - loadNanos >= 0) {
            load = newLoad;
            loadNanos = reportedNanos;
        }
    }

    /** Returns the last reported load of the engine, or empty if there is none or it is older than the given age. */
    public Optional<BackendLoad> load(long nowNanos, long maxAgeMillis) {
        boolean fresh = load != null && (nowNanos - loadNanos) / 1_000_000 <= maxAgeMillis;
        return fresh ? Optional.of(load) : Optional.empty();
    }

    /** Returns the number of open requests of this instance. */
    public int openRequests() {
        return openRequests;
    }

    /** Records a usable response, which ends the pause. */
    public void recordSuccess() {
        consecutiveFailures = 0;
        pausedUntil = null;
        failureRate -= failureRate * EWMA_WEIGHT / 4;
    }

    /** Records a failure of the server and pauses it, longer with each consecutive failure. */
    public void recordFailure(long nowNanos) {
        consecutiveFailures++;
        failureRate += (1 - failureRate) * EWMA_WEIGHT;
        long pause = Math.min(MAX_PAUSE_MILLIS, FIRST_PAUSE_MILLIS << Math.min(consecutiveFailures - 1, 10));
        pausedUntil = Deadline.afterMillis(nowNanos, pause);
    }

    /** Records that the server rejected a request without running it, and pauses the server briefly. */
    public void recordRejection(long nowNanos) {
        pausedUntil = Deadline.afterMillis(nowNanos, REJECTION_PAUSE_MILLIS);
    }

    /** Records that the server has turned a request away and wants none of this instance for some time. */
    public void recordTurnedAway(Deadline until) {
        turnedAwayUntil = until;
    }

    /** Returns for how many milliseconds the server wants no request of this instance; at most 0 if it takes some. */
    public long turnedAwayMillis(long nowNanos) {
        return turnedAwayUntil == null ? 0 : turnedAwayUntil.remainingMillis(nowNanos);
    }

    /** Records an error response, which raises the failure rate but does not pause the server. */
    public void recordErrorResponse() {
        failureRate += (1 - failureRate) * EWMA_WEIGHT / 4;
    }

    /** Forgets that the server has failed, as it answers others; returns whether it had failed. */
    public boolean forgetFailures() {
        boolean hadFailed = consecutiveFailures > 0;
        if (hadFailed) {
            pausedUntil = null;
            consecutiveFailures = 0;
            failureRate = 0;
        }
        return hadFailed;
    }

    /** Lets the server be chosen like any other once, though it has failed, as only that shows whether it serves. */
    public void beginTrial() {
        failureRate = 0;
    }

    /** Returns how often the server has failed since it last answered well. */
    public int consecutiveFailures() {
        return consecutiveFailures;
    }

    /** Returns true if the server is unreachable or paused after a failure or a rejection. */
    public boolean paused(long nowNanos) {
        return unreachable || pausedUntil != null && !pausedUntil.hasPassed(nowNanos);
    }

    /** Marks the server as reachable. */
    public void markReachable() {
        unreachable = false;
    }

    /** Marks the server as unreachable, which pauses it until it is reachable again. */
    public void markUnreachable() {
        unreachable = true;
    }

    /** Returns true if the last attempt to reach the server failed. */
    public boolean unreachable() {
        return unreachable;
    }

    /** Records that the server has answered a call of this instance, with whatever response. */
    public void recordAnswer(long nowNanos) {
        answeredNanos = nowNanos;
    }

    /** Returns how many milliseconds ago the server last answered a call of this instance; empty if it never did. */
    public OptionalLong answeredAgoMillis(long nowNanos) {
        return answeredNanos == null ? OptionalLong.empty() : OptionalLong.of((nowNanos - answeredNanos) / 1_000_000);
    }

    /** Returns the moving average of failed responses, 0 to 1. */
    public double failureRate() {
        return failureRate;
    }

    /** Records the delay of a response beyond its expected time, in milliseconds. */
    public void recordDelay(double millis, long nowNanos) {
        delayMillis += (millis - delayMillis) * EWMA_WEIGHT;
        delayNanos = nowNanos;
    }

    /** Returns the average delay beyond the expected time in milliseconds, which decays with a time constant of 2 s. */
    public double delayMillis(long nowNanos) {
        double seconds = (nowNanos - delayNanos) / 1e9;
        return delayMillis * Math.exp(-seconds / 2);
    }

    /** Adds the prefill work for a sign of 1 and subtracts it for -1. */
    private void add(PrefillWork work, int sign) {
        if (work.deferred()) {
            deferredMicros += sign * work.micros();
        } else {
            regularMicros += sign * work.micros();
        }
    }
}
