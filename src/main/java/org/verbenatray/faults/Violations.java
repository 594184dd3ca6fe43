package org.verbenatray.faults;

import java.util.ArrayList;
import java.util.List;

/** Collects what broke an invariant; safe for concurrent use. */
final class Violations {
    /** The largest number that is kept. */
    private static final int MAX_KEPT = 50;

    /** What was found. */
    private final List<String> found = new ArrayList<>();

    /** Creates an empty collection. */
    private Violations() {}

    /** Returns an empty collection. */
    static Violations create() {
        return new Violations();
    }

    /** Adds one. */
    synchronized void add(String violation) {
        if (found.size() < MAX_KEPT) {
            found.add(violation);
        }
    }

    /** Adds one unless a condition holds. */
    void unless(boolean condition, String violation) {
        if (!condition) {
            add(violation);
        }
    }

    /** Returns what was found. */
    synchronized List<String> found() {
        return List.copyOf(found);
    }
}
