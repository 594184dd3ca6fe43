package org.verbenatray.serving;

import java.util.Optional;
import org.verbenatray.admission.AdmissionRejection;
import org.verbenatray.admission.RejectionReason;

/** Converts rejections by admission control into refusals for callers. */
final class AdmissionRefusals {
    private AdmissionRefusals() {}

    /** Returns the refusal for the caller; a request rejected by admission control has not run. */
    static Refusal of(AdmissionRejection rejection) {
        RefusalKind kind = kindOf(rejection.reason());
        Optional<Long> retryAfterMillis = rejection.retryAfterMillis().isPresent()
                ? Optional.of(rejection.retryAfterMillis().getAsLong())
                : Optional.empty();
        return new Refusal(kind, Refusal.Ran.NO, rejection.message(), retryAfterMillis);
    }

    private static RefusalKind kindOf(RejectionReason reason) {
        return switch (reason) {
            case UNKNOWN_CUSTOMER -> RefusalKind.UNAUTHENTICATED;
            case UNKNOWN_MODEL -> RefusalKind.NOT_FOUND;
            case TOO_LONG -> RefusalKind.TOO_LARGE;
            case RATE_LIMITED, TOKENS_LIMITED, TOO_MANY_OPEN -> RefusalKind.RATE_LIMITED;
            case DEADLINE_UNREACHABLE -> RefusalKind.DEADLINE;
            case OVERLOADED -> RefusalKind.OVERLOADED;
            case NO_ENGINE -> RefusalKind.NO_SERVER;
        };
    }
}
