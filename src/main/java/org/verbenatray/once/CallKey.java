package org.verbenatray.once;

import java.util.Optional;

/**
 * Identifies a call that may run at most once.
 *
 * @param value the customer and the hash of customer, service and idempotency key, as {@code customer/hash}
 * @param issuedMillis the time embedded in the key in milliseconds since the epoch, empty for an opaque key
 */
public record CallKey(String value, Optional<Long> issuedMillis) {}
