package org.verbenatray.bench;

import java.lang.management.ManagementFactory;
import java.util.function.Supplier;

/** Measures the heap that a structure takes. */
final class Heap {
    /** The collections before each reading. */
    private static final int COLLECTIONS = 4;

    /** Prevents instances. */
    private Heap() {}

    /** Returns the bytes by which the heap grows while what the supplier makes is held. */
    static long bytesOf(Supplier<?> supplier) {
        long before = used();
        Object held = supplier.get();
        long after = used();
        if (held == null) {
            throw new IllegalStateException("the supplier gave nothing; return what is to be measured");
        }
        java.lang.ref.Reference.reachabilityFence(held);
        return after - before;
    }

    /** Returns the used bytes of the heap after collections. */
    private static long used() {
        for (int i = 0; i < COLLECTIONS; i++) {
            System.gc();
        }
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }
}
