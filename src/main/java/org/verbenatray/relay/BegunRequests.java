package org.verbenatray.relay;

/** Receives the requests that servers have begun to run. */
@FunctionalInterface
public interface BegunRequests {
    /** Records that a server has begun to run a request of a customer, at the given time of the ticker. */
    void record(String customer, long nanos);
}
