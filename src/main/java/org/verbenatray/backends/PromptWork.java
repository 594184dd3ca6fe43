package org.verbenatray.backends;

/**
 * The processing of one prompt that an engine has before it.
 *
 * @param micros the time that a prefill engine is busy with it, in microseconds
 * @param deferred whether it runs only when nothing else waits
 */
public record PromptWork(long micros, boolean deferred) {
    /** No processing. */
    public static final PromptWork NONE = new PromptWork(0, false);
}
