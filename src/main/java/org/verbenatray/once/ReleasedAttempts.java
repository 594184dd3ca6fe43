package org.verbenatray.once;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** The attempts released within a window of offsets; a reservation that reaches the log after its release is barred. */
final class ReleasedAttempts {
    /** The number of offsets for which a release is remembered. */
    private static final long WINDOW_OFFSETS = 16_384;

    /** The releases in the order of their offsets. */
    private final ArrayDeque<Released> order = new ArrayDeque<>();

    /** The released attempts. */
    private final Set<String> attempts = new HashSet<>();

    /** Remembers a release. */
    void add(String attempt, long offset) {
        if (attempts.add(attempt)) {
            order.add(new Released(attempt, offset));
        }
    }

    /** Returns whether an attempt was released within the window. */
    boolean contains(String attempt) {
        return attempts.contains(attempt);
    }

    /** Forgets the releases that the given offset pushes out of the window. */
    void forgetBefore(long offset) {
        while (!order.isEmpty() && order.peek().offset() <= offset - WINDOW_OFFSETS) {
            attempts.remove(order.poll().attempt());
        }
    }

    /** Returns the releases in the order of their offsets. */
    List<Released> exportState() {
        return new ArrayList<>(order);
    }

    /** Replaces the releases. */
    void importState(List<Released> state) {
        order.clear();
        attempts.clear();
        state.forEach(one -> add(one.attempt(), one.offset()));
    }

    /**
     * A release.
     *
     * @param attempt the released attempt
     * @param offset the offset of the release
     */
    record Released(String attempt, long offset) {}
}
