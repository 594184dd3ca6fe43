package org.verbenatray.relay;

/** Decides in which order an engine takes up requests; zero comes first. */
final class Rank {
    /** The rank of a prompt that was processed elsewhere: it holds memory at two engines and needs next to nothing. */
    private static final int HANDED_OVER = 0;

    /** The last rank of requests that can be on time. */
    private static final int LAST_ON_TIME = 4;

    /** The last rank that engines know. */
    private static final int LAST = 9;

    /** Prevents instances. */
    private Rank() {}

    /** Returns the rank of a prompt that was processed at another engine. */
    static int handedOver() {
        return HANDED_OVER;
    }

    /** Returns the rank of a request that can be on time, given the priority of its route. */
    static int onTime(int priority) {
        return Math.min(LAST_ON_TIME, HANDED_OVER + 1 + priority);
    }

    /** Returns the rank of a request that is late whatever is done, given the priority of its route. */
    static int deferred(int priority) {
        return Math.min(LAST, LAST_ON_TIME + 1 + priority);
    }
}
