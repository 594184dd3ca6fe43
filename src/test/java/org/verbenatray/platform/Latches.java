package org.verbenatray.platform;

import java.util.concurrent.CountDownLatch;

/** Waits of scripts on latches. */
final class Latches {
    private Latches() {}

    /** Waits for a latch; an interrupt ends the wait and stays set. */
    static void await(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
