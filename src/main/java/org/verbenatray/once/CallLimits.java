package org.verbenatray.once;

import java.util.concurrent.TimeUnit;

/**
 * The bounds of the table of calls; they are part of the rules of a record format and the same on every instance.
 *
 * @param windowMillis the time for which keys of known age are remembered, in milliseconds
 * @param minWindowMillis the time to which the window shrinks when the table is full, in milliseconds
 * @param maxTimed the largest number of remembered keys of known age
 * @param maxTimedPerCustomer the largest number of them per customer
 * @param maxOpaque the largest number of remembered keys of unknown age
 * @param maxOpaquePerCustomer the largest number of them per customer
 * @param maxAnswerChars the largest answer body that is kept, in characters
 * @param maxKeptChars the largest sum of kept answer bodies, in characters
 */
record CallLimits(
        long windowMillis,
        long minWindowMillis,
        int maxTimed,
        int maxTimedPerCustomer,
        int maxOpaque,
        int maxOpaquePerCustomer,
        int maxAnswerChars,
        long maxKeptChars) {
    /** The bounds of format 1. */
    static final CallLimits FORMAT_1 = new CallLimits(
            TimeUnit.HOURS.toMillis(6), TimeUnit.MINUTES.toMillis(15), 65_536, 32_768, 8_192, 2_048, 8_192, 8_388_608);
}
