package org.verbenatray.fleet;

/**
 * The timeouts and limits of the fleet view.
 *
 * @param maxReportAgeMillis the age above which a report no longer shows that its engine is running, in milliseconds
 * @param reportMarginMillis the time before the measurement of a report, in milliseconds, in which dispatches are still
 *     added to the reported load, because they may not have reached the engine when it measured
 * @param failuresUntilUnreachable the number of consecutive failures after which an engine is treated as unreachable
 * @param probeIntervalMillis the initial time after which an unreachable engine may receive one request as a probe, in
 *     milliseconds
 * @param maxChangesPerEngine the maximum number of load changes kept per engine
 * @param maxOffersPerGroup the maximum number of engines that a digest offers per combination of models and role
 */
public record FleetBounds(
        long maxReportAgeMillis,
        long reportMarginMillis,
        int failuresUntilUnreachable,
        long probeIntervalMillis,
        int maxChangesPerEngine,
        int maxOffersPerGroup) {
    /** Returns the default timeouts and limits. */
    public static FleetBounds defaults() {
        return new FleetBounds(2_000, 20, 3, 1_000, 1_024, 8);
    }
}
