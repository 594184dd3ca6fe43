package org.verbenatray.platform;

import java.util.concurrent.CountDownLatch;
import org.verbenatray.instance.EventLoop;

/** Event loops that do nothing for a while, as those of processes that get too little processor time. */
final class HeldLoop {
    private HeldLoop() {}

    /** Runs an action while the given event loops do nothing. */
    static void hold(Action action, EventLoop... loops) throws Exception {
        CountDownLatch holding = new CountDownLatch(loops.length);
        CountDownLatch released = new CountDownLatch(1);
        for (EventLoop loop : loops) {
            loop.thread().execute(() -> {
                holding.countDown();
                Latches.await(released);
            });
        }
        Latches.await(holding);
        try {
            action.run();
        } finally {
            released.countDown();
        }
    }

    /** What happens meanwhile. */
    @FunctionalInterface
    interface Action {
        /** Runs the action. */
        void run() throws Exception;
    }
}
