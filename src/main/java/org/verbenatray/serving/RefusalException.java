package org.verbenatray.serving;

/** Carries a refusal out of a step of the pipeline. */
public final class RefusalException extends RuntimeException {
    /** The refusal. */
    private final transient Refusal refusal;

    /** Creates the exception. */
    public RefusalException(Refusal refusal) {
        super(refusal.message(), null, false, false);
        this.refusal = refusal;
    }

    /** Returns the refusal. */
    public Refusal refusal() {
        return refusal;
    }
}
