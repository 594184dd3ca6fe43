package org.verbenatray.servers;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.TimeUnit;
import org.verbenatray.web.BufferedReads;
import org.xnio.StreamConnection;

/**
 * The incoming bytes of a connection whose end is held back, where it would complete a response, until a reset behind
 * it would have arrived: a server that closes a connection without having read the whole request resets it, also if it
 * has ended its own bytes before. Used on the I/O thread of the connection.
 */
final class ConfirmedEnd extends BufferedReads {
    /** The time for which a reset is awaited: it is sent as the server closes the connection. */
    private static final long RESET_MILLIS = 5;

    private final StreamConnection connection;

    /** Whether the end of the connection would complete a response to a request with a body. */
    private boolean needed;

    private State state = State.OPEN;

    /** Whether the reader wants to be called when there are bytes. */
    private boolean resumed;

    ConfirmedEnd(StreamConnection connection) {
        super(connection.getSourceChannel().getConduit());
        this.connection = connection;
    }

    /** Sets whether the end of the connection has to be confirmed. */
    void setNeeded(boolean value) {
        needed = value;
    }

    @Override
    public int read(ByteBuffer target) throws IOException {
        if (state == State.HELD) {
            return 0;
        }
        int count = next.read(target);
        if (count >= 0 || !needed) {
            return count;
        }
        if (state == State.OPEN) {
            hold();
            return 0;
        }
        if (ResetProbe.isReset(connection)) {
            throw new IOException("the connection was reset behind its end");
        }
        return count;
    }

    private void hold() {
        state = State.HELD;
        super.suspendReads();
        getReadThread().executeAfter(this::release, RESET_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void release() {
        state = State.RELEASED;
        if (resumed && connection.isOpen()) {
            super.resumeReads();
        }
    }

    @Override
    public void resumeReads() {
        resumed = true;
        if (state != State.HELD) {
            super.resumeReads();
        }
    }

    @Override
    public void wakeupReads() {
        resumed = true;
        if (state != State.HELD) {
            super.wakeupReads();
        }
    }

    @Override
    public void suspendReads() {
        resumed = false;
        super.suspendReads();
    }

    @Override
    public boolean isReadResumed() {
        return resumed;
    }

    /** What is known of the end of the connection. */
    private enum State {
        /** It was not read. */
        OPEN,
        /** It was read, and a reset is awaited. */
        HELD,
        /** It is passed on unless the connection was reset. */
        RELEASED
    }
}
