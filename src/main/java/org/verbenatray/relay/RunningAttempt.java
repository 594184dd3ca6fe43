package org.verbenatray.relay;

/** An attempt to get a response whose outcome is not known yet. Used on one thread. */
interface RunningAttempt {
    /** Returns whether the request may have been received. */
    boolean sendingStarted();

    /** Returns whether the receiver only does the prefill, so that the request does not run there. */
    boolean prefillOnly();

    /** Returns the server or the instance that the request is sent to, for the log. */
    String receiver();

    /** Cancels the attempt without an outcome; a request that is not yet sent is never sent. */
    void cancel();
}
