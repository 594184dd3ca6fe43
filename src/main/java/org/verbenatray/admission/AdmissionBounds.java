package org.verbenatray.admission;

/**
 * The bounds of admission.
 *
 * @param maxQueuedPerPriority the largest number of waiting requests per model and priority
 * @param maxEngineQueueMillis the prefill queue of the chosen engine in milliseconds above which a request of the
 *     lowest priority waits here; each higher priority may add as much again
 * @param burstSeconds the seconds of a customer's rate that it may use at once
 * @param minBurstRequests the requests that a customer may always send at once
 * @param maxPasses the later requests that may be released in place of a waiting one that fits no engine
 */
public record AdmissionBounds(
        int maxQueuedPerPriority,
        double maxEngineQueueMillis,
        double burstSeconds,
        double minBurstRequests,
        int maxPasses) {
    /** Returns the usual bounds. */
    public static AdmissionBounds defaults() {
        return new AdmissionBounds(512, 800, 2, 8, 16);
    }
}
