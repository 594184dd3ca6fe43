package org.verbenatray.serving;

import org.verbenatray.servers.Cancellation;
import org.verbenatray.time.Deadline;

/** Runs actions at deadlines on the thread of one request. */
@FunctionalInterface
interface RelayTimers {
    /** Runs the action at the deadline unless it is cancelled before. */
    Cancellation at(Deadline deadline, Runnable action);
}
