package org.verbenatray.openwork;

/**
 * The open work at one engine.
 *
 * @param regularMicros the outstanding regular prefill work, which is not deferred, in microseconds of a prefill engine
 * @param deferredMicros the outstanding prefill work that runs only when no other prompt waits, in the same unit
 * @param openRequests the number of requests that have not ended
 */
public record EngineWork(long regularMicros, long deferredMicros, int openRequests) {
    /** No open work. */
    public static final EngineWork NONE = new EngineWork(0, 0, 0);

    /** Returns the sum of this and other work. */
    public EngineWork plus(EngineWork other) {
        return new EngineWork(
                regularMicros + other.regularMicros,
                deferredMicros + other.deferredMicros,
                openRequests + other.openRequests);
    }

    /** Returns this work multiplied by a factor, rounded. */
    public EngineWork times(double factor) {
        return new EngineWork(Math.round(regularMicros * factor), Math.round(deferredMicros * factor), (int)
                Math.round(openRequests * factor));
    }

    /** Returns the prefill work that runs before a new request, in microseconds of a prefill engine. */
    public long microsAhead(boolean deferred) {
        return regularMicros + (deferred ? deferredMicros : 0);
    }
}
