package org.verbenatray.framing;

import java.nio.ByteBuffer;

/** Follows the bytes of one body to its end. Used by one reader. */
interface BodyTracker {
    /** Returns a tracker of the body of a response. */
    static BodyTracker of(ResponseFraming framing) {
        return switch (framing.bodyEnd()) {
            case LENGTH -> ofLength(framing.bodyBytes());
            case LAST_CHUNK -> ofChunks();
            case CONNECTION -> untilConnectionEnds();
        };
    }

    /** Returns a tracker of a body of the given length in bytes. */
    static BodyTracker ofLength(long bytes) {
        return new LengthTracker(bytes);
    }

    /** Returns a tracker of a body in chunks. */
    static BodyTracker ofChunks() {
        return new ChunkTracker();
    }

    /** Returns a tracker of a body that ends with its connection, so that every byte belongs to it. */
    static BodyTracker untilConnectionEnds() {
        return new BodyTracker() {
            @Override
            public void take(ByteBuffer received) {
                received.position(received.limit());
            }

            @Override
            public boolean isComplete() {
                return false;
            }
        };
    }

    /**
     * Takes the bytes that belong to the body and its framing; bytes that remain belong to no message.
     *
     * @throws MalformedMessageException if the framing is malformed
     */
    void take(ByteBuffer received) throws MalformedMessageException;

    /** Returns whether the bytes taken so far end the body. */
    boolean isComplete();
}
