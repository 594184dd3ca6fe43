package org.verbenatray.framing;

import java.nio.ByteBuffer;

/** Follows a body whose length is known. */
final class LengthTracker implements BodyTracker {
    private long remainingBytes;

    LengthTracker(long bytes) {
        remainingBytes = bytes;
    }

    @Override
    public void take(ByteBuffer received) {
        int count = (int) Math.min(remainingBytes, received.remaining());
        received.position(received.position() + count);
        remainingBytes -= count;
    }

    @Override
    public boolean isComplete() {
        return remainingBytes == 0;
    }
}
