package org.verbenatray.once;

import java.util.concurrent.TimeUnit;

/**
 * Limits of the table of calls. They are part of the record format, so every instance must use the same values.
 *
 * @param retentionMillis the time for which timestamped keys are retained, in milliseconds
 * @param minRetentionMillis the time to which the retention may shrink when the table is full, in milliseconds
 * @param maxTimestampedKeys the maximum number of retained timestamped keys, which are keys with an embedded issue time
 * @param maxTimestampedKeysPerCustomer the maximum number of retained timestamped keys per customer
 * @param maxOpaqueKeys the maximum number of retained opaque keys, which have no known issue time
 * @param maxOpaqueKeysPerCustomer the maximum number of retained opaque keys per customer
 * @param maxBodyChars the maximum length of a stored response body, in characters
 * @param maxTotalBodyChars the maximum total length of stored response bodies, in characters
 */
record CallLimits(
        long retentionMillis,
        long minRetentionMillis,
        int maxTimestampedKeys,
        int maxTimestampedKeysPerCustomer,
        int maxOpaqueKeys,
        int maxOpaqueKeysPerCustomer,
        int maxBodyChars,
        long maxTotalBodyChars) {
    /** The limits of record format 1. */
    static final CallLimits FORMAT_1 = new CallLimits(
            TimeUnit.HOURS.toMillis(6), TimeUnit.MINUTES.toMillis(15), 65_536, 32_768, 8_192, 2_048, 8_192, 8_388_608);
}
