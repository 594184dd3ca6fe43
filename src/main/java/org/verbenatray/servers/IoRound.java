package org.verbenatray.servers;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import org.xnio.ChannelPipe;
import org.xnio.IoUtils;
import org.xnio.XnioIoThread;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/**
 * Runs tasks of an I/O thread once it has handled what had arrived on all its connections. The thread runs its tasks
 * and due timers before it looks at connections again, so the end of a round is noticed by a pipe: a byte is written to
 * it, and becomes readable together with whatever else has arrived. Used on that thread only.
 */
final class IoRound {
    private static final int PIPE_BUFFER_BYTES = 16;

    private final XnioIoThread thread;

    private final StreamSinkChannel trigger;

    /** The tasks that wait for the end of the round. */
    private List<Runnable> waiting = new ArrayList<>();

    private IoRound(XnioIoThread thread, StreamSinkChannel trigger) {
        this.thread = thread;
        this.trigger = trigger;
    }

    /** Returns the rounds of a thread; fails with an {@link UncheckedIOException} if there is no descriptor left. */
    static IoRound of(XnioIoThread thread) {
        try {
            ChannelPipe<StreamSourceChannel, StreamSinkChannel> pipe = thread.createHalfDuplexPipe(thread);
            IoRound round = new IoRound(thread, pipe.getRightSide());
            pipe.getLeftSide().getReadSetter().set(round::end);
            pipe.getLeftSide().resumeReads();
            return round;
        } catch (IOException e) {
            throw new UncheckedIOException("cannot create a pipe; check the limit of descriptors", e);
        }
    }

    /** Runs a task after the next round. */
    void runAfterNext(Runnable task) {
        waiting.add(task);
        if (waiting.size() == 1) {
            trigger();
        }
    }

    private void trigger() {
        try {
            trigger.write(ByteBuffer.wrap(new byte[1]));
        } catch (IOException e) {
            runWaiting();
        }
    }

    /** Ends a round whose other connections may still be handled: tasks follow all of them. */
    private void end(StreamSourceChannel source) {
        try {
            source.read(ByteBuffer.allocate(PIPE_BUFFER_BYTES));
        } catch (IOException e) {
            IoUtils.safeClose(source);
        }
        runWaiting();
    }

    private void runWaiting() {
        List<Runnable> due = waiting;
        waiting = new ArrayList<>();
        due.forEach(thread::execute);
    }
}
