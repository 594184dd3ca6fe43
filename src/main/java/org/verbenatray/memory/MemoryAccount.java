package org.verbenatray.memory;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.Deque;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The account of the bytes that callers and servers make the process keep, with a bound on their sum.
 *
 * <p>A share asks before it grows, and waits while there is no room, so that its connection is not read meanwhile.
 * Shares that cannot wait grow all the same; beyond the bound the largest share is given up. Thread-safe.
 */
public final class MemoryAccount {
    /** The part of the heap that the account may take; the rest is for the process itself and for garbage. */
    private static final double HEAP_SHARE = 0.375;

    private final MemoryPolicy policy;

    /** The shares that have bytes, oldest first. */
    private final Set<Share> shares = new LinkedHashSet<>();

    /** The requests to grow that wait for room, oldest first. */
    private final Deque<Share> waiting = new ArrayDeque<>();

    /** The bytes by use, with those of shares that are given up until they are closed. */
    private final Map<MemoryUse, Long> usedBytes = new EnumMap<>(MemoryUse.class);

    /** The bytes of all shares. */
    private long retainedBytes;

    /** The bytes of the shares that are given up but not closed yet. */
    private long givenUpBytes;

    /** The largest number of bytes so far. */
    private long peakBytes;

    /** The number of changes under way that belong together. */
    private int openChanges;

    private MemoryAccount(long maxBytes) {
        this.policy = new MemoryPolicy(maxBytes);
    }

    /** Returns an account whose bound follows from the largest heap of this process. */
    public static MemoryAccount ofHeap() {
        return new MemoryAccount((long) (Runtime.getRuntime().maxMemory() * HEAP_SHARE));
    }

    /** Returns an account with the given bound in bytes. */
    public static MemoryAccount bounded(long maxBytes) {
        return new MemoryAccount(maxBytes);
    }

    /** Returns an account without a bound, for processes with few connections. */
    public static MemoryAccount unbounded() {
        return new MemoryAccount(Long.MAX_VALUE / 2);
    }

    /** Returns the bound in bytes. */
    public long maxBytes() {
        return policy.maxBytes();
    }

    /** Returns the number of bytes that are kept now. */
    public synchronized long retainedBytes() {
        return retainedBytes;
    }

    /** Returns the number of bytes that are kept now, by use; uses without bytes may be absent. */
    public synchronized Map<MemoryUse, Long> retainedByUse() {
        return Map.copyOf(usedBytes);
    }

    /** Returns the largest number of bytes that were kept at a time. */
    public synchronized long peakBytes() {
        return peakBytes;
    }

    /** Returns the number of shares that wait for room. */
    public synchronized int waitingCount() {
        return waiting.size();
    }

    /**
     * Returns a new share, without bytes.
     *
     * @param onGivenUp called once, on any thread, if the holder must free its bytes and close the share; not called
     *     for bodies of requests
     */
    public Share open(MemoryUse use, Runnable onGivenUp) {
        return new Share(use, onGivenUp);
    }

    /** Runs changes that belong together, such as the handing over of bytes from one share to another. */
    public void changeTogether(Runnable changes) {
        synchronized (this) {
            openChanges++;
        }
        try {
            changes.run();
        } finally {
            synchronized (this) {
                openChanges--;
            }
            settle();
        }
    }

    /** Gives up shares beyond the bound and lets those grow that wait, if there is room. */
    private void settle() {
        List<Runnable> actions = new ArrayList<>();
        synchronized (this) {
            boolean withinBound = retainedBytes - givenUpBytes <= maxBytes();
            if (openChanges > 0 || withinBound && waiting.isEmpty()) {
                return;
            }
            Optional<Share> largest = largestOf(shares);
            while (largest.isPresent() && retainedBytes - givenUpBytes > maxBytes()) {
                actions.add(giveUp(largest.get()));
                largest = largestOf(shares);
            }
            grantWaiting(actions);
            if (actions.isEmpty() && isStuck()) {
                largestOf(waiting).map(this::giveUp).ifPresent(actions::add);
            }
        }
        actions.forEach(Runnable::run);
    }

    /** Lets shares grow that wait: those that have bytes already, and the others of each use in their order. */
    private void grantWaiting(List<Runnable> actions) {
        Set<MemoryUse> blocked = EnumSet.noneOf(MemoryUse.class);
        for (Share share : List.copyOf(waiting)) {
            boolean begins = share.bytes == 0;
            if (begins && blocked.contains(share.use)) {
                continue;
            }
            if (admits(share, share.requestedBytes)) {
                waiting.remove(share);
                change(share, share.requestedBytes);
                actions.add(share.onGranted);
            } else if (begins) {
                blocked.add(share.use);
            }
        }
    }

    /** Returns whether all incomplete responses wait for room and no caller that reads will make any. */
    private boolean isStuck() {
        boolean responseWaits = waiting.stream().anyMatch(share -> share.use == MemoryUse.RESPONSE && share.bytes > 0);
        return responseWaits
                && shares.stream()
                        .noneMatch(share ->
                                share.givenUp || share.use != MemoryUse.REQUEST_BODY && !waiting.contains(share));
    }

    private boolean admits(Share share, long bytes) {
        boolean isOldest = shares.stream()
                .filter(other -> other.use == share.use && other.bytes >= MemoryPolicy.SMALL_BYTES)
                .findFirst()
                .map(oldest -> oldest == share)
                .orElse(true);
        MemoryPolicy.Growth growth = new MemoryPolicy.Growth(share.use, share.bytes, bytes, isOldest);
        return policy.admits(growth, usedBytes.getOrDefault(share.use, 0L), retainedBytes);
    }

    /** Returns the largest share that can be given up; the body of a request is kept while the request is. */
    private static Optional<Share> largestOf(Collection<Share> candidates) {
        return candidates.stream()
                .filter(share -> !share.givenUp && share.use != MemoryUse.REQUEST_BODY)
                .max(Comparator.comparingLong(share -> share.bytes));
    }

    private Runnable giveUp(Share share) {
        share.givenUp = true;
        givenUpBytes += share.bytes;
        waiting.remove(share);
        return share.onGivenUp;
    }

    private void change(Share share, long bytes) {
        long growth = bytes - share.bytes;
        usedBytes.merge(share.use, growth, Long::sum);
        retainedBytes += growth;
        if (share.givenUp) {
            givenUpBytes += growth;
        }
        share.bytes = bytes;
        if (bytes == 0) {
            shares.remove(share);
        } else {
            shares.add(share);
        }
        peakBytes = Math.max(peakBytes, retainedBytes);
    }

    /** The bytes that are kept for one purpose. */
    public final class Share {
        private final MemoryUse use;

        private final Runnable onGivenUp;

        /** The bytes; guarded by the account. */
        private long bytes;

        /** The bytes for which the share waits; guarded by the account. */
        private long requestedBytes;

        /** Called when the share has grown to the requested bytes. */
        private Runnable onGranted = () -> {};

        /** Whether the holder must free the bytes; guarded by the account. */
        private boolean givenUp;

        private Share(MemoryUse use, Runnable onGivenUp) {
            this.use = use;
            this.onGivenUp = onGivenUp;
        }

        /**
         * Asks for room. Returns true if the share has at least the given number of bytes now; otherwise the task runs
         * when it has, unless the share is given up or closed before.
         */
        public boolean request(long newBytes, Runnable whenGranted) {
            synchronized (MemoryAccount.this) {
                if (newBytes <= bytes) {
                    return true;
                }
                boolean behindOthers = bytes == 0
                        && newBytes > MemoryPolicy.SMALL_BYTES
                        && waiting.stream().anyMatch(share -> share.use == use);
                if (!behindOthers && admits(this, newBytes)) {
                    change(this, newBytes);
                    return true;
                }
                requestedBytes = newBytes;
                onGranted = whenGranted;
                waiting.remove(this);
                waiting.add(this);
            }
            settle();
            return false;
        }

        /** Returns whether the share waits for room. */
        public boolean isWaiting() {
            synchronized (MemoryAccount.this) {
                return waiting.contains(this);
            }
        }

        /** Sets the number of bytes; gives up the largest shares if the sum exceeds its bound. */
        public void set(long newBytes) {
            synchronized (MemoryAccount.this) {
                if (newBytes == bytes) {
                    return;
                }
                change(this, newBytes);
            }
            settle();
        }

        /** Frees the bytes, and ends the wait for more. */
        public void close() {
            synchronized (MemoryAccount.this) {
                boolean waited = waiting.remove(this);
                if (!waited && bytes == 0) {
                    return;
                }
                change(this, 0);
            }
            settle();
        }
    }
}
