package org.verbenatray.log;

/** The log no longer retains the records at the requested offset; read the newest record of each key instead. */
public final class OffsetNotRetainedException extends RuntimeException {
    public OffsetNotRetainedException(String message) {
        super(message);
    }
}
