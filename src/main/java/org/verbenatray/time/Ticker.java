package org.verbenatray.time;

/** A source of monotonic time in nanoseconds. */
@FunctionalInterface
public interface Ticker {
    /** Returns the current monotonic time in nanoseconds. */
    long nanos();

    /** Returns the ticker of {@link System#nanoTime}. */
    static Ticker system() {
        return System::nanoTime;
    }
}
