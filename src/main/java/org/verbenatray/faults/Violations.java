package org.verbenatray.faults;

import java.util.ArrayList;
import java.util.List;

/** Collects descriptions of violated invariants. Safe for concurrent use. */
final class Violations {
    /** The maximum number of messages kept. Later ones are dropped. */
    private static final int MAX_MESSAGES = 50;

    private final List<String> messages = new ArrayList<>();

    private Violations() {}

    /** Returns a collection without messages. */
    static Violations create() {
        return new Violations();
    }

    /** Adds a message unless the maximum number is reached. */
    synchronized void add(String violation) {
        if (messages.size() < MAX_MESSAGES) {
            messages.add(violation);
        }
    }

    /** Adds a message unless a condition holds. */
    void addUnless(boolean condition, String violation) {
        if (!condition) {
            add(violation);
        }
    }

    /** Returns a copy of the messages. */
    synchronized List<String> messages() {
        return List.copyOf(messages);
    }
}
