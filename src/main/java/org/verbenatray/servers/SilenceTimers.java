package org.verbenatray.servers;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.xnio.XnioIoThread;

/**
 * Timers whose tasks conclude something from the silence of a peer. A process that gets too little processor time finds
 * such a timer due before it has read what arrived in time. So the task of a due timer runs after another round of I/O,
 * unless the timer is removed in that round.
 */
public final class SilenceTimers {
    private final Map<XnioIoThread, IoRound> rounds = new ConcurrentHashMap<>();

    private SilenceTimers() {}

    /** Returns an object without timers. */
    static SilenceTimers create() {
        return new SilenceTimers();
    }

    /** Runs a task on an I/O thread after the given time in milliseconds, unless the returned key is removed before. */
    public XnioIoThread.Key schedule(XnioIoThread thread, Runnable task, long millis) {
        Timer timer = new Timer(task);
        timer.key = thread.executeAfter(
                () -> rounds.computeIfAbsent(thread, IoRound::of).runAfterNext(timer::run),
                millis,
                TimeUnit.MILLISECONDS);
        return timer;
    }

    /** One timer, which is also the key that removes it. */
    private static final class Timer implements XnioIoThread.Key {
        private final Runnable task;

        private XnioIoThread.Key key;

        /** Whether the task has run or must not run any more. */
        private volatile boolean ended;

        Timer(Runnable task) {
            this.task = task;
        }

        private void run() {
            if (!ended) {
                ended = true;
                task.run();
            }
        }

        @Override
        public boolean remove() {
            boolean removed = !ended;
            ended = true;
            key.remove();
            return removed;
        }
    }
}
