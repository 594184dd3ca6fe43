package org.verbenatray.framing;

/** What marks the end of the body of a message. */
public enum BodyEnd {
    /** A number of bytes that is known from the head; zero for a message without a body. */
    LENGTH,
    /** The last chunk and the trailer. */
    LAST_CHUNK,
    /** The end of the connection. */
    CONNECTION
}
