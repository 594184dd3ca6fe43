package org.verbenatray.memory;

/** What the bytes of an account are kept for. */
public enum MemoryUse {
    /** The body of a caller's request, from its first byte until the request has ended. */
    REQUEST_BODY,
    /** A response, or an event of a stream, that is not complete yet. */
    RESPONSE,
    /** A complete response, or events of a stream, that the caller has not read. */
    UNREAD,
    /** The response to a call of this process itself. */
    OWN_CALL
}
