package org.verbenatray.admission;

/**
 * Bounds of the admission queues and of the customers' bursts.
 *
 * @param maxQueuedPerPriority the largest number of waiting requests per model and priority
 * @param maxEngineQueueMillis the prefill queue of the chosen engine in milliseconds above which a request of the
 *     lowest priority waits in the admission queue; each higher priority may add as much again
 * @param burstSeconds the seconds of a customer's rate that it may use at once
 * @param minBurstRequests the number of requests that a customer may always send at once
 * @param maxBypasses the number of later requests that may be released ahead of a waiting one that fits no engine
 */
public record AdmissionBounds(
        int maxQueuedPerPriority,
        double maxEngineQueueMillis,
        double burstSeconds,
        double minBurstRequests,
        int maxBypasses) {
    /** Returns the default bounds. */
    public static AdmissionBounds defaults() {
        return new AdmissionBounds(512, 800, 2, 8, 16);
    }
}
