package org.verbenatray.catalog;

/** The kind of requests that a route accepts, which decides whether they may be retried. */
public enum RouteKind {
    /** Safe to run any number of times. */
    SAFE,
    /** Must run at most once. */
    UNSAFE,
    /** The response is a stream of events; must run at most once unless the route allows streams to be resumed. */
    STREAMING
}
