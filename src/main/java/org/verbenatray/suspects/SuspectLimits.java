package org.verbenatray.suspects;

/**
 * The bounds of a suspect table.
 *
 * @param maxEntries the bound on the remembered fingerprints
 * @param maxQuarantined the bound on the servers that run a suspect alone at the same time
 * @param condemnedMillis the time for which the second crash bars a fingerprint; doubles with each further one
 * @param maxCondemnedMillis the bound on that time
 * @param forgetMillis the time after the last crash when a fingerprint is forgotten
 * @param aloneMillis the time for which a run alone bars its server unless it ends earlier
 * @param waitMillis the time after which a waiting suspect asks again
 */
public record SuspectLimits(
        int maxEntries,
        int maxQuarantined,
        long condemnedMillis,
        long maxCondemnedMillis,
        long forgetMillis,
        long aloneMillis,
        long waitMillis) {
    /** Returns the usual bounds. */
    public static SuspectLimits defaults() {
        return new SuspectLimits(8_192, 2, 600_000, 86_400_000, 172_800_000, 300_000, 200);
    }

    /** Returns the time for which a number of crashes bars a fingerprint, in milliseconds. */
    long condemnedMillis(int crashes) {
        int doublings = Math.min(crashes - 2, 30);
        return Math.min(maxCondemnedMillis, condemnedMillis << doublings);
    }
}
