package org.verbenatray.openwork;

/**
 * The open work at one engine.
 *
 * @param onTimeMicros the processing of prompts that are to be on time, in microseconds of a prefill engine
 * @param deferredMicros the processing of prompts that run when nothing else waits, in the same unit
 * @param runs the requests that have not ended
 */
public record EngineWork(long onTimeMicros, long deferredMicros, int runs) {
    /** No work. */
    public static final EngineWork NONE = new EngineWork(0, 0, 0);

    /** Returns the sum of this and other work. */
    public EngineWork plus(EngineWork other) {
        return new EngineWork(
                onTimeMicros + other.onTimeMicros, deferredMicros + other.deferredMicros, runs + other.runs);
    }

    /** Returns a multiple of this work. */
    public EngineWork times(double factor) {
        return new EngineWork(Math.round(onTimeMicros * factor), Math.round(deferredMicros * factor), (int)
                Math.round(runs * factor));
    }

    /** Returns the microseconds of processing that go before a new request. */
    public long ahead(boolean deferred) {
        return onTimeMicros + (deferred ? deferredMicros : 0);
    }
}
