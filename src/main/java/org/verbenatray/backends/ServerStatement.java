package org.verbenatray.backends;

import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;

/**
 * What a backend server states of itself in the head of a response.
 *
 * @param leaving whether it is leaving, so that it wants no new requests
 * @param limit what it states of its limit; empty if that cannot be read
 * @param pauseMillis for how long it wants no request of this instance, in milliseconds; empty if it names no time
 */
public record ServerStatement(boolean leaving, Optional<Limit> limit, OptionalLong pauseMillis) {
    /**
     * A limit, or that there is none.
     *
     * @param requestsPerSecond the requests a second that it takes from all instances together; empty if it states none
     */
    public record Limit(OptionalDouble requestsPerSecond) {
        /** The statement of a server without a limit. */
        public static final Limit NONE = new Limit(OptionalDouble.empty());
    }
}
