package org.verbenatray.relay;

/** Limits of the responses that the relay holds in memory, from servers and from other instances. */
final class ResponseLimits {
    /** Largest response that is not a stream. */
    static final int MAX_BODY_BYTES = 16 * 1024 * 1024;

    /** Largest response of a prefill, which is a handle. */
    static final int MAX_PREFILL_BODY_BYTES = 64 * 1024;

    /** Largest event of a stream. */
    static final int MAX_EVENT_BYTES = 10 * 1024 * 1024;

    private ResponseLimits() {}
}
