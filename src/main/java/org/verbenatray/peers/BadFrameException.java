package org.verbenatray.peers;

/** Signals that a peer violated the frame protocol. The link is closed and, where planned, dialed again. */
final class BadFrameException extends RuntimeException {
    BadFrameException(String message) {
        super(message);
    }
}
