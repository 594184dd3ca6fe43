package org.verbenatray.suspects;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Comparator;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeSet;

/**
 * The crash history of one fingerprint. Merging is commutative, associative and idempotent, so peers may exchange
 * entries in any order and repeatedly.
 *
 * @param fingerprint the fingerprint
 * @param epoch the number of times the crashes were cleared because the request completed in an isolated run
 * @param crashes the server incarnations that crashed while they ran the request in this epoch
 * @param earlyCrashes the subset of {@code crashes} that happened before the server generated tokens for the request or
 *     during an isolated run
 * @param blockedAtCrashes the number of crashes at which {@code blockedUntilMillis} was set; {@code condemnedAtCrashes}
 *     in JSON
 * @param blockedUntilMillis the end of the block in milliseconds since the epoch, zero for none;
 *     {@code condemnedUntilMillis} in JSON
 * @param lastChangeMillis the time at which a crash was last added or the crashes were last cleared, in milliseconds
 *     since the epoch
 */
public record SuspectEntry(
        Fingerprint fingerprint,
        long epoch,
        SortedSet<String> crashes,
        SortedSet<String> earlyCrashes,
        @JsonProperty("condemnedAtCrashes") int blockedAtCrashes,
        @JsonProperty("condemnedUntilMillis") long blockedUntilMillis,
        long lastChangeMillis) {
    /** The number of early crashes from which on a request is blocked. */
    static final int BLOCKING_EARLY_CRASHES = 2;

    /** The number of crashes, early or not, from which on a request is blocked. */
    static final int BLOCKING_CRASHES = 3;

    /** The number of crashes, early or not, from which on a request may only run isolated. */
    static final int SUSPECT_CRASHES = 2;

    /** The largest number of recorded crashes; a fingerprint that reaches it is blocked until its entry expires. */
    static final int MAX_CRASHES = 16;

    /** Orders blocks by their number of crashes, then by their end; {@link #merge} keeps the greatest. */
    private static final Comparator<SuspectEntry> BY_BLOCK =
            Comparator.comparingInt(SuspectEntry::blockedAtCrashes).thenComparingLong(SuspectEntry::blockedUntilMillis);

    /** Returns an entry without crashes. */
    static SuspectEntry create(Fingerprint fingerprint) {
        return new SuspectEntry(fingerprint, 0, new TreeSet<>(), new TreeSet<>(), 0, 0, 0);
    }

    /** Returns the least upper bound of two entries of the same fingerprint; the newer epoch replaces the older one. */
    SuspectEntry merge(SuspectEntry other) {
        long changeMillis = Math.max(lastChangeMillis, other.lastChangeMillis);
        if (epoch != other.epoch) {
            SuspectEntry newer = epoch > other.epoch ? this : other;
            return newer.withLastChange(changeMillis);
        }
        SortedSet<String> early = union(earlyCrashes, other.earlyCrashes);
        SuspectEntry block = BY_BLOCK.compare(this, other) >= 0 ? this : other;
        return new SuspectEntry(
                fingerprint,
                epoch,
                union(crashes, other.crashes),
                early,
                block.blockedAtCrashes,
                block.blockedUntilMillis,
                changeMillis);
    }

    /** Returns this entry with a crash added; the crash of a known incarnation is not counted again. */
    SuspectEntry withCrash(String incarnation, boolean early, long nowMillis) {
        SortedSet<String> one = new TreeSet<>(Set.of(incarnation));
        SortedSet<String> oneEarly = early ? one : new TreeSet<>();
        return merge(new SuspectEntry(fingerprint, epoch, one, oneEarly, 0, 0, nowMillis));
    }

    /** Returns an entry of the next epoch without crashes. */
    SuspectEntry withCrashesCleared(long nowMillis) {
        return new SuspectEntry(fingerprint, epoch + 1, new TreeSet<>(), new TreeSet<>(), 0, 0, nowMillis);
    }

    /** Returns this entry, with a new end of the block if crashes were added and there are enough of them. */
    SuspectEntry withBlockIfDue(SuspectLimits limits, long nowMillis) {
        boolean due = earlyCrashes.size() >= BLOCKING_EARLY_CRASHES || crashes.size() >= BLOCKING_CRASHES;
        if (!due || crashes.size() <= blockedAtCrashes) {
            return this;
        }
        long untilMillis = nowMillis + limits.blockMillis(crashes.size());
        return new SuspectEntry(
                fingerprint, epoch, crashes, earlyCrashes, crashes.size(), untilMillis, lastChangeMillis);
    }

    /** Returns whether the request may only run isolated. */
    boolean isSuspect() {
        return !earlyCrashes.isEmpty() || crashes.size() >= SUSPECT_CRASHES;
    }

    /** Returns whether the request must be rejected at the given time. */
    boolean isBlocked(long nowMillis) {
        return crashes.size() >= MAX_CRASHES || nowMillis < blockedUntilMillis;
    }

    /** Returns the union of two sets of crashes, truncated to the first {@link #MAX_CRASHES} in natural order. */
    private static SortedSet<String> union(SortedSet<String> first, SortedSet<String> second) {
        SortedSet<String> union = new TreeSet<>(first);
        union.addAll(second);
        while (union.size() > MAX_CRASHES) {
            union.remove(union.last());
        }
        return union;
    }

    private SuspectEntry withLastChange(long millis) {
        return new SuspectEntry(
                fingerprint, epoch, crashes, earlyCrashes, blockedAtCrashes, blockedUntilMillis, millis);
    }
}
