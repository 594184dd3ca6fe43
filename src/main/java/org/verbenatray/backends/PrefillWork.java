package org.verbenatray.backends;

/**
 * The outstanding prefill work of one prompt.
 *
 * @param micros the time for which it occupies a prefill engine, in microseconds
 * @param deferred true if it runs only when no other prompt waits
 */
public record PrefillWork(long micros, boolean deferred) {
    /** No prefill work. */
    public static final PrefillWork NONE = new PrefillWork(0, false);
}
