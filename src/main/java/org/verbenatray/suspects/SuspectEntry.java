package org.verbenatray.suspects;

import java.util.Comparator;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeSet;

/**
 * What is known of one fingerprint. Merging is commutative, associative and idempotent, so the order and repetition of
 * messages between peers do not matter.
 *
 * @param fingerprint the fingerprint
 * @param epoch rises each time the request finishes alone and is cleared
 * @param crashes the server incarnations that crashed while they ran it in this epoch
 * @param earlyCrashes those of them that came before the server had generated tokens, or while it ran alone
 * @param condemnedAtCrashes the number of crashes for which the time of condemnation was set
 * @param condemnedUntilMillis the end of the condemnation in milliseconds since the epoch, zero for none
 * @param lastChangeMillis the time of the last crash or clearing in milliseconds since the epoch
 */
public record SuspectEntry(
        Fingerprint fingerprint,
        long epoch,
        SortedSet<String> crashes,
        SortedSet<String> earlyCrashes,
        int condemnedAtCrashes,
        long condemnedUntilMillis,
        long lastChangeMillis) {
    /** The early crashes that condemn. */
    static final int CONDEMNING_EARLY_CRASHES = 2;

    /** The crashes that condemn whether they were early or not. */
    static final int CONDEMNING_CRASHES = 3;

    /** The crashes from which on a request runs alone whether they were early or not. */
    static final int SUSPECT_CRASHES = 2;

    /** The bound on the remembered crashes; with as many the fingerprint is barred until it is forgotten. */
    static final int MAX_CRASHES = 16;

    /** Orders condemnations: more crashes go first, then the later end. */
    private static final Comparator<SuspectEntry> BY_CONDEMNATION = Comparator.comparingInt(
                    SuspectEntry::condemnedAtCrashes)
            .thenComparingLong(SuspectEntry::condemnedUntilMillis);

    /** Returns the entry of a fingerprint without crashes. */
    static SuspectEntry create(Fingerprint fingerprint) {
        return new SuspectEntry(fingerprint, 0, new TreeSet<>(), new TreeSet<>(), 0, 0, 0);
    }

    /** Returns the join of two entries of the same fingerprint. */
    SuspectEntry merge(SuspectEntry other) {
        long changeMillis = Math.max(lastChangeMillis, other.lastChangeMillis);
        if (epoch != other.epoch) {
            SuspectEntry newer = epoch > other.epoch ? this : other;
            return newer.withLastChange(changeMillis);
        }
        SortedSet<String> early = union(earlyCrashes, other.earlyCrashes);
        SuspectEntry condemnation = BY_CONDEMNATION.compare(this, other) >= 0 ? this : other;
        return new SuspectEntry(
                fingerprint,
                epoch,
                union(crashes, other.crashes),
                early,
                condemnation.condemnedAtCrashes,
                condemnation.condemnedUntilMillis,
                changeMillis);
    }

    /** Returns the entry after one more crash. */
    SuspectEntry crashed(String incarnation, boolean early, long nowMillis) {
        SortedSet<String> one = new TreeSet<>(Set.of(incarnation));
        SortedSet<String> oneEarly = early ? one : new TreeSet<>();
        return merge(new SuspectEntry(fingerprint, epoch, one, oneEarly, 0, 0, nowMillis));
    }

    /** Returns the entry after the request finished alone. */
    SuspectEntry cleared(long nowMillis) {
        return new SuspectEntry(fingerprint, epoch + 1, new TreeSet<>(), new TreeSet<>(), 0, 0, nowMillis);
    }

    /** Returns the entry with the end of the condemnation set when its crashes ask for one. */
    SuspectEntry condemnedIfDue(SuspectLimits limits, long nowMillis) {
        boolean due = earlyCrashes.size() >= CONDEMNING_EARLY_CRASHES || crashes.size() >= CONDEMNING_CRASHES;
        if (!due || crashes.size() <= condemnedAtCrashes) {
            return this;
        }
        long untilMillis = nowMillis + limits.condemnedMillis(crashes.size());
        return new SuspectEntry(
                fingerprint, epoch, crashes, earlyCrashes, crashes.size(), untilMillis, lastChangeMillis);
    }

    /** Returns whether the request must not run normally. */
    boolean isSuspect() {
        return !earlyCrashes.isEmpty() || crashes.size() >= SUSPECT_CRASHES;
    }

    /** Returns whether the request must not run at all at the given time. */
    boolean isCondemned(long nowMillis) {
        return crashes.size() >= MAX_CRASHES || nowMillis < condemnedUntilMillis;
    }

    /** Returns the union of two sets of crashes up to the bound. */
    private static SortedSet<String> union(SortedSet<String> first, SortedSet<String> second) {
        SortedSet<String> union = new TreeSet<>(first);
        union.addAll(second);
        while (union.size() > MAX_CRASHES) {
            union.remove(union.last());
        }
        return union;
    }

    /** Returns the same entry with another time of the last change. */
    private SuspectEntry withLastChange(long millis) {
        return new SuspectEntry(
                fingerprint, epoch, crashes, earlyCrashes, condemnedAtCrashes, condemnedUntilMillis, millis);
    }
}
