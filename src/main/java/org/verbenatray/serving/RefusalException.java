package org.verbenatray.serving;

/** Ends the processing of a request with a refusal; has no stack trace. */
public final class RefusalException extends RuntimeException {
    private final transient Refusal refusal;

    public RefusalException(Refusal refusal) {
        super(refusal.message(), null, false, false);
        this.refusal = refusal;
    }

    /** Returns the refusal. */
    public Refusal refusal() {
        return refusal;
    }
}
