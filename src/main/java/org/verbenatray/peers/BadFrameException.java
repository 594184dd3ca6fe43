package org.verbenatray.peers;

/** A peer sent a frame that breaks the protocol; the link is closed and opened anew. */
final class BadFrameException extends RuntimeException {
    /** Creates the failure. */
    BadFrameException(String message) {
        super(message);
    }
}
