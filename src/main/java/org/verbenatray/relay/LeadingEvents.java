package org.verbenatray.relay;

import java.util.ArrayList;
import java.util.List;
import org.verbenatray.time.Deadline;

/**
 * The events without a position that a server sends before its first event with one. They are kept back, since they may
 * be the text of an error after which the server breaks off: what was passed on could not be joined with the stream of
 * another server. A sound server goes on, and then they are passed on as they came. Used on one thread.
 */
final class LeadingEvents {
    /** The time after which events are kept back no longer: a server whose events have no ids goes on without them. */
    private static final long MAX_KEPT_MILLIS = 250;

    /** The size from which on events are kept back no longer. */
    private static final int MAX_KEPT_BYTES = 64 * 1024;

    private final List<StreamEvent> kept = new ArrayList<>();

    private int keptBytes;

    /** When the events are passed on without one that has a position; null before the first of them. */
    private Deadline keptUntil;

    /** Whether events are kept back no longer. */
    private boolean passing;

    private LeadingEvents(boolean passing) {
        this.passing = passing;
    }

    /** Returns an object that keeps events back. */
    static LeadingEvents keepingBack() {
        return new LeadingEvents(false);
    }

    /** Returns an object that passes on each event at once. */
    static LeadingEvents passingOn() {
        return new LeadingEvents(true);
    }

    /** Takes the next event, received at the given time of the ticker, and returns the events to pass on now. */
    List<StreamEvent> add(StreamEvent event, long nowNanos) {
        kept.add(event);
        keptBytes += event.bytes().length;
        if (keptUntil == null) {
            keptUntil = Deadline.afterMillis(nowNanos, MAX_KEPT_MILLIS);
        }
        passing |= event.position().isPresent() || keptBytes > MAX_KEPT_BYTES || keptUntil.hasPassed(nowNanos);
        return passing ? takeAll() : List.of();
    }

    /** Returns the events that are kept back, and keeps them no longer. */
    List<StreamEvent> takeAll() {
        List<StreamEvent> all = List.copyOf(kept);
        kept.clear();
        keptBytes = 0;
        return all;
    }

    /** Returns the size of the events that are kept back. */
    int keptBytes() {
        return keptBytes;
    }
}
