package org.verbenatray.standin.engine;

import java.util.Optional;
import org.verbenatray.configuration.EngineRole;

/**
 * A planned change of an engine that first drains.
 *
 * @param role the new role, if it changes
 * @param model the model whose version changes, if any
 * @param version the new version, empty when none
 * @param millis the time without service in milliseconds
 * @param endNanos when it ends, {@link Long#MAX_VALUE} while the engine drains
 */
record Change(Optional<EngineRole> role, Optional<String> model, String version, long millis, long endNanos) {
    /** Nanoseconds in one millisecond. */
    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** Returns a change of role that drains. */
    static Change toRole(EngineRole role, long millis) {
        return new Change(Optional.of(role), Optional.empty(), "", millis, Long.MAX_VALUE);
    }

    /** Returns a change of version that drains. */
    static Change toVersion(String model, String version, long millis) {
        return new Change(Optional.empty(), Optional.of(model), version, millis, Long.MAX_VALUE);
    }

    /** Returns whether the engine is drained. */
    boolean started() {
        return endNanos != Long.MAX_VALUE;
    }

    /** Returns the change whose part without service starts now. */
    Change startingAt(long nowNanos) {
        return new Change(role, model, version, millis, nowNanos + millis * NANOS_PER_MILLI);
    }
}
