package org.verbenatray.load;

import java.util.UUID;
import java.util.random.RandomGenerator;

/** Creates UUIDs of version 7, which contain their time of creation. */
public final class UuidV7 {
    /** The number of bits below the timestamp in the upper half. */
    private static final int TIME_SHIFT = 16;

    /** The version bits in the upper half. */
    private static final long VERSION = 0x7000L;

    /** The variant bits in the lower half. */
    private static final long VARIANT = 0x8000000000000000L;

    private UuidV7() {}

    /** Returns a random UUID with the given time in milliseconds since the epoch. */
    public static UUID create(long epochMillis, RandomGenerator random) {
        long most = epochMillis << TIME_SHIFT | VERSION | random.nextLong() & 0xFFFL;
        long least = random.nextLong() & 0x3FFFFFFFFFFFFFFFL | VARIANT;
        return new UUID(most, least);
    }
}
