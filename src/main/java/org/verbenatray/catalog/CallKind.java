package org.verbenatray.catalog;

/** What may be repeated of a call. */
public enum CallKind {
    /** May run any number of times. */
    SAFE,
    /** Runs at most once. */
    UNSAFE,
    /** Answered by a stream of events; runs at most once unless its route lets streams be resumed. */
    STREAMING
}
