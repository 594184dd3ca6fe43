package org.verbenatray.admission;

import java.util.OptionalLong;

/**
 * The final response to a request that is rejected before it runs.
 *
 * @param reason the reason
 * @param retryAfterMillis the time in milliseconds after which the same request is expected to be accepted, empty when
 *     a retry is of no use
 * @param message the reason with its figures and the remedy
 */
public record AdmissionRejection(RejectionReason reason, OptionalLong retryAfterMillis, String message) {
    /**
     * Returns the rejection of a request that may be accepted after the given time, which is rounded up to at least 1
     * ms.
     */
    static AdmissionRejection retryable(RejectionReason reason, double retryAfterMillis, String detail) {
        long millis = (long) Math.ceil(Math.max(1, retryAfterMillis));
        return new AdmissionRejection(reason, OptionalLong.of(millis), message(reason, detail));
    }

    /** Returns the rejection of a request for which a retry is of no use. */
    static AdmissionRejection permanent(RejectionReason reason, String detail) {
        return new AdmissionRejection(reason, OptionalLong.empty(), message(reason, detail));
    }

    private static String message(RejectionReason reason, String detail) {
        return detail + "; not run; " + reason.remedy();
    }
}
