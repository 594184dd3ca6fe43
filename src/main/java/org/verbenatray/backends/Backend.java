package org.verbenatray.backends;

import java.util.Optional;
import org.verbenatray.openwork.EngineWork;
import org.verbenatray.time.Deadline;

/** One start of a backend server as this instance sees it; used on one thread. */
public final class Backend {
    /** The weight of the newest value in the moving averages. */
    private static final double NEWEST = 0.2;

    /** The time in milliseconds for which a server is passed over after its first failure in a row. */
    private static final long FIRST_PAUSE_MILLIS = 400;

    /** The longest such time in milliseconds. */
    private static final long LONGEST_PAUSE_MILLIS = 3_200;

    /** The time in milliseconds for which a server is passed over after a refusal. */
    private static final long REFUSAL_PAUSE_MILLIS = 250;

    /** What the server states. */
    private BackendEntry entry;

    /** Whether the server is leaving or gone. */
    private boolean leaving;

    /** The requests of this instance that it works on. */
    private int open;

    /** The processing of this instance's prompts that is to be on time, in microseconds of a prefill engine. */
    private long onTimeMicros;

    /** The processing of this instance's deferred prompts in the same unit. */
    private long deferredMicros;

    /** The failures in a row. */
    private int failuresInRow;

    /** When it may be used again after failures. */
    private Deadline pausedUntil;

    /** The moving average of failed answers, 0 to 1. */
    private double failureShare;

    /** The moving average of the delay beyond the expected time in milliseconds. */
    private double delayMillis;

    /** The newest load that the engine stated, null before the first. */
    private LoadReading load;

    /** When the load was read. */
    private long loadNanos;

    /** Whether the last attempt to reach it failed. */
    private boolean unreachable;

    /** When the delay was last measured. */
    private long delayNanos;

    /** Creates the view of a server. */
    private Backend(BackendEntry entry) {
        this.entry = entry;
        this.leaving = entry.leaving();
    }

    /** Returns the view of a server that was not used yet. */
    public static Backend of(BackendEntry entry) {
        return new Backend(entry);
    }

    /** Returns what the server states. */
    public BackendEntry entry() {
        return entry;
    }

    /** Takes a newer statement of the same start; leaving is final. */
    void update(BackendEntry newer) {
        entry = newer;
        leaving |= newer.leaving();
    }

    /** Marks the server as leaving or gone. */
    public void markLeaving() {
        leaving = true;
    }

    /** Returns whether the server takes no new requests. */
    public boolean leaving() {
        return leaving;
    }

    /** Counts a request that is sent to the server, with the processing of its prompt. */
    public void opened(PromptWork work) {
        open++;
        add(work, 1);
    }

    /** Notes that the prompt of an open request was processed. */
    public void processed(PromptWork work) {
        add(work, -1);
    }

    /** Counts a request that is over. */
    public void closed() {
        open--;
    }

    /** Returns the open work of this instance. */
    public EngineWork work() {
        return new EngineWork(onTimeMicros, deferredMicros, open);
    }

    /** Takes the load that the engine states. */
    public void loaded(LoadReading reading, long nowNanos) {
        load = reading;
        loadNanos = nowNanos;
    }

    /** Returns the newest load that the engine stated, unless it is older than the given milliseconds. */
    public Optional<LoadReading> load(long nowNanos, long maxAgeMillis) {
        boolean fresh = load != null && (nowNanos - loadNanos) / 1_000_000 <= maxAgeMillis;
        return fresh ? Optional.of(load) : Optional.empty();
    }

    /** Returns the requests of this instance that it works on. */
    public int open() {
        return open;
    }

    /** Notes an answer that was usable. */
    public void succeeded() {
        failuresInRow = 0;
        pausedUntil = null;
        failureShare -= failureShare * NEWEST / 4;
    }

    /** Notes a failure of the server itself, after which it is passed over for a while. */
    public void failed(long nowNanos) {
        failuresInRow++;
        failureShare += (1 - failureShare) * NEWEST;
        long pause = Math.min(LONGEST_PAUSE_MILLIS, FIRST_PAUSE_MILLIS << Math.min(failuresInRow - 1, 10));
        pausedUntil = Deadline.afterMillis(nowNanos, pause);
    }

    /** Notes that the server refused a request that it did not run: others go first for a moment. */
    public void refused(long nowNanos) {
        pausedUntil = Deadline.afterMillis(nowNanos, REFUSAL_PAUSE_MILLIS);
    }

    /** Notes an error that the server answered: it counts against it but doesn't pause it. */
    public void erred() {
        failureShare += (1 - failureShare) * NEWEST / 4;
    }

    /** Returns whether the server is passed over after failures. */
    public boolean paused(long nowNanos) {
        return unreachable || pausedUntil != null && !pausedUntil.passed(nowNanos);
    }

    /** Notes that the server answered. */
    public void reached() {
        unreachable = false;
    }

    /** Notes that the server could not be reached; it is passed over until it answers again. */
    public void missed() {
        unreachable = true;
    }

    /** Returns whether the last attempt to reach the server failed. */
    public boolean unreachable() {
        return unreachable;
    }

    /** Returns the moving average of failed answers, 0 to 1. */
    public double failureShare() {
        return failureShare;
    }

    /** Notes how much longer than expected the server took, in milliseconds. */
    public void delayed(double millis, long nowNanos) {
        delayMillis += (millis - delayMillis) * NEWEST;
        delayNanos = nowNanos;
    }

    /** Returns the recent delay beyond the expected time in milliseconds, which fades within seconds. */
    public double delayMillis(long nowNanos) {
        double seconds = (nowNanos - delayNanos) / 1e9;
        return delayMillis * Math.exp(-seconds / 2);
    }

    /** Adds or takes away the processing of a prompt. */
    private void add(PromptWork work, int sign) {
        if (work.deferred()) {
            deferredMicros += sign * work.micros();
        } else {
            onTimeMicros += sign * work.micros();
        }
    }
}
