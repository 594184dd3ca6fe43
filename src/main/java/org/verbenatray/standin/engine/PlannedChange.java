package org.verbenatray.standin.engine;

import java.util.Optional;
import org.verbenatray.configuration.EngineRole;

/**
 * A planned change of an engine's role or model version. The engine first drains and is then out of service for a fixed
 * time.
 *
 * @param role the new role; empty for a version change
 * @param model the model whose version changes; empty for a role change
 * @param version the new version; an empty string for a role change
 * @param outageMillis the duration of the outage after draining, in milliseconds
 * @param endNanos the end of the outage in nanoseconds; {@link Long#MAX_VALUE} while the engine is draining
 */
record PlannedChange(
        Optional<EngineRole> role, Optional<String> model, String version, long outageMillis, long endNanos) {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** Returns a role change whose draining starts now. */
    static PlannedChange toRole(EngineRole role, long millis) {
        return new PlannedChange(Optional.of(role), Optional.empty(), "", millis, Long.MAX_VALUE);
    }

    /** Returns a version change whose draining starts now. */
    static PlannedChange toVersion(String model, String version, long millis) {
        return new PlannedChange(Optional.empty(), Optional.of(model), version, millis, Long.MAX_VALUE);
    }

    /** Returns whether draining is complete and the outage has started. */
    boolean isDrained() {
        return endNanos != Long.MAX_VALUE;
    }

    /** Returns this change with its outage starting at the given time. */
    PlannedChange withOutageStart(long nowNanos) {
        return new PlannedChange(role, model, version, outageMillis, nowNanos + outageMillis * NANOS_PER_MILLI);
    }
}
