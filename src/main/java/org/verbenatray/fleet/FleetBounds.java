package org.verbenatray.fleet;

/**
 * The bounds of the fleet view.
 *
 * @param staleMillis the age in milliseconds above which a report no longer proves that its engine lives
 * @param reportMarginMillis the milliseconds before a report's measurement in which own dispatches still count in
 *     addition, because they may have been on their way
 * @param failuresUntilUnreachable the consecutive failures after which an engine counts as unreachable
 * @param probeMillis the milliseconds after which an unreachable engine may be tried with one request
 * @param maxChangesPerEngine the largest number of load changes kept per engine
 * @param offersPerDomain the largest number of engines that a digest of another failure domain offers
 */
public record FleetBounds(
        long staleMillis,
        long reportMarginMillis,
        int failuresUntilUnreachable,
        long probeMillis,
        int maxChangesPerEngine,
        int offersPerDomain) {
    /** Returns the usual bounds. */
    public static FleetBounds defaults() {
        return new FleetBounds(2_000, 20, 3, 1_000, 1_024, 8);
    }
}
