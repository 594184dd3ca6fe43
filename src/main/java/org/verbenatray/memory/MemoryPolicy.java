package org.verbenatray.memory;

/**
 * Decides which bytes may be received. Under a load of large bodies and slow readers, small requests and responses are
 * served on, and responses have room beside the bodies of the requests that wait for them.
 *
 * @param maxBytes the bound of all uses together, in bytes
 */
record MemoryPolicy(long maxBytes) {
    /** The size in bytes up to which requests and responses count as small. */
    static final long SMALL_BYTES = 16 * 1024;

    /** The part of the bound that bodies of requests may take: one in two. */
    private static final long BODIES_DIVISOR = 2;

    /** The part of the bound that is kept from large responses: one in sixteen. */
    private static final long SMALL_ONLY_DIVISOR = 16;

    /**
     * The part of the bound up to which responses of unknown length grow beside an older one: one in two. The rest is
     * for the oldest, so that it can be completed.
     */
    private static final long GROWING_DIVISOR = 2;

    /** The part of the bound that is kept from large bodies of requests: one in eight. */
    private static final long RESPONSES_ONLY_DIVISOR = 8;

    /**
     * Returns whether a share may grow.
     *
     * @param growth the growth
     * @param ofUse the bytes of all shares of that use
     * @param all the bytes of all shares
     */
    boolean admits(Growth growth, long ofUse, long all) {
        long allThen = all + growth.newBytes() - growth.bytes();
        if (growth.newBytes() <= SMALL_BYTES) {
            return allThen <= maxBytes;
        }
        if (growth.use() == MemoryUse.REQUEST_BODY) {
            long ofUseThen = ofUse + growth.newBytes() - growth.bytes();
            boolean only = ofUse == growth.bytes();
            return (only || ofUseThen <= maxBytes / BODIES_DIVISOR)
                    && allThen <= maxBytes - maxBytes / RESPONSES_ONLY_DIVISOR;
        }
        boolean wholeAtOnce = growth.bytes() == 0;
        return wholeAtOnce || growth.isOldest()
                ? allThen <= maxBytes - maxBytes / SMALL_ONLY_DIVISOR
                : allThen <= maxBytes / GROWING_DIVISOR;
    }

    /**
     * A share that asks for room.
     *
     * @param use what it is kept for
     * @param bytes its bytes so far; zero if its whole size is known and asked for at once
     * @param newBytes its bytes afterwards
     * @param isOldest whether it is the oldest large share of its use
     */
    record Growth(MemoryUse use, long bytes, long newBytes, boolean isOldest) {}
}
