package org.verbenatray.serving;

/** The admission of one request. */
interface Admitted {
    /** Tells that the request is about to be dispatched, which counts its load by itself. */
    void beginning();

    /** Returns the admission, once, with the number of generated tokens. */
    void ended(int outputTokens);
}
