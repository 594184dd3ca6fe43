package org.verbenatray.servers;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Set;

/**
 * The bytes that responses which are not complete yet retain, with a bound on their sum. Beyond it the largest response
 * is given up, so that small ones are received beside others without end. Thread-safe.
 */
public final class ResponseMemory {
    /** The bound of an instance in bytes, a quarter of a heap of 96 MiB. */
    public static final long INSTANCE_BYTES = 24L * 1024 * 1024;

    private final long maxBytes;

    /** The shares that retain bytes. */
    private final Set<Share> shares = Collections.newSetFromMap(new IdentityHashMap<>());

    /** The bytes of all shares, with those given up until they are closed. */
    private long retainedBytes;

    /** The bytes of the shares that are given up but not closed yet. */
    private long givenUpBytes;

    /** The largest number of retained bytes so far. */
    private long peakBytes;

    private ResponseMemory(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Returns a memory with the given bound in bytes. */
    public static ResponseMemory bounded(long maxBytes) {
        return new ResponseMemory(maxBytes);
    }

    /** Returns a memory without a bound, for processes that receive few responses. */
    public static ResponseMemory unbounded() {
        return new ResponseMemory(Long.MAX_VALUE);
    }

    /** Returns the number of bytes that responses retain now. */
    public synchronized long retainedBytes() {
        return retainedBytes;
    }

    /** Returns the largest number of bytes that responses have retained at a time. */
    public synchronized long peakBytes() {
        return peakBytes;
    }

    /**
     * Returns the share of a new response, without bytes.
     *
     * @param onGivenUp called once, on any thread, if the response must free its bytes and close the share
     */
    public Share open(Runnable onGivenUp) {
        return new Share(onGivenUp);
    }

    /** Sets the bytes of a share and returns the shares to give up. */
    private synchronized List<Share> set(Share share, long bytes) {
        retainedBytes += bytes - share.bytes;
        if (share.givenUp) {
            givenUpBytes += bytes - share.bytes;
        }
        share.bytes = bytes;
        if (bytes == 0) {
            shares.remove(share);
        } else {
            shares.add(share);
        }
        peakBytes = Math.max(peakBytes, retainedBytes);
        if (retainedBytes - givenUpBytes <= maxBytes) {
            return List.of();
        }
        List<Share> chosen = new ArrayList<>();
        while (retainedBytes - givenUpBytes > maxBytes) {
            chosen.add(giveUpLargest());
        }
        return chosen;
    }

    private Share giveUpLargest() {
        Share largest = shares.stream()
                .filter(share -> !share.givenUp)
                .max(Comparator.comparingLong(share -> share.bytes))
                .orElseThrow();
        largest.givenUp = true;
        givenUpBytes += largest.bytes;
        return largest;
    }

    /** The bytes that one response retains. */
    public final class Share {
        private final Runnable onGivenUp;

        /** The retained bytes; guarded by the memory. */
        private long bytes;

        /** Whether the response must free its bytes; guarded by the memory. */
        private boolean givenUp;

        private Share(Runnable onGivenUp) {
            this.onGivenUp = onGivenUp;
        }

        /** Sets the number of retained bytes; gives up the largest responses if the sum exceeds its bound. */
        public void set(long newBytes) {
            ResponseMemory.this.set(this, newBytes).forEach(share -> share.onGivenUp.run());
        }

        /** Sets the number of retained bytes to zero. */
        public void close() {
            set(0);
        }
    }
}
