package org.verbenatray.once;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Attempts whose release is within a window of recent log offsets. A reservation that reaches the log after its
 * release is rejected by this list. Not thread-safe.
 */
final class ReleasedAttempts {
    /** Number of log offsets for which a release is remembered. */
    private static final long WINDOW_OFFSETS = 16_384;

    private final ArrayDeque<Released> releasesByOffset = new ArrayDeque<>();

    /** Ids of the released attempts. */
    private final Set<String> attempts = new HashSet<>();

    /** Adds a release, unless the attempt has one in the window. */
    void add(String attempt, long offset) {
        if (attempts.add(attempt)) {
            releasesByOffset.add(new Released(attempt, offset));
        }
    }

    /** Returns whether an attempt was released within the window. */
    boolean contains(String attempt) {
        return attempts.contains(attempt);
    }

    /** Removes the releases that are outside the window which ends at the given offset. */
    void removeExpired(long offset) {
        while (!releasesByOffset.isEmpty() && releasesByOffset.peek().offset() <= offset - WINDOW_OFFSETS) {
            attempts.remove(releasesByOffset.poll().attempt());
        }
    }

    /** Returns the releases in the order of their offsets. */
    List<Released> exportState() {
        return new ArrayList<>(releasesByOffset);
    }

    /** Replaces the releases with those of a snapshot. */
    void importState(List<Released> state) {
        releasesByOffset.clear();
        attempts.clear();
        state.forEach(release -> add(release.attempt(), release.offset()));
    }

    /**
     * The release of an attempt.
     *
     * @param attempt the id of the released attempt
     * @param offset the log offset of the release
     */
    record Released(String attempt, long offset) {}
}
