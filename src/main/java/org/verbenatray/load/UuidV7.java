package org.verbenatray.load;

import java.util.UUID;
import java.util.random.RandomGenerator;

/** Makes UUIDs of version 7, which carry the time at which they were made. */
public final class UuidV7 {
    /** The bits of the time in milliseconds. */
    private static final int TIME_SHIFT = 16;

    /** The version. */
    private static final long VERSION = 0x7000L;

    /** The variant. */
    private static final long VARIANT = 0x8000000000000000L;

    /** Prevents instances. */
    private UuidV7() {}

    /** Returns a UUID of the given time in milliseconds since the epoch. */
    public static UUID at(long epochMillis, RandomGenerator random) {
        long most = epochMillis << TIME_SHIFT | VERSION | random.nextLong() & 0xFFFL;
        long least = random.nextLong() & 0x3FFFFFFFFFFFFFFFL | VARIANT;
        return new UUID(most, least);
    }
}
