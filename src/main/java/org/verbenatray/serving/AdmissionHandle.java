package org.verbenatray.serving;

/** The admission of one request, which counts against the limits of its customer and model until it is closed. */
interface AdmissionHandle {
    /** Removes the provisional load of the request; called right before the dispatch, which counts the actual load. */
    void releaseProvisionalLoad();

    /** Ends the admission; called exactly once, with the number of generated tokens, zero for a failed request. */
    void close(int outputTokens);
}
