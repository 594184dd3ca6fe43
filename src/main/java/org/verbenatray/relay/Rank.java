package org.verbenatray.relay;

/** Decides in which order an engine takes up requests; zero comes first. */
final class Rank {
    /** The rank of a prompt that was processed elsewhere: it holds memory at two engines and needs next to nothing. */
    private static final int HANDED_OVER = 0;

    /** The last rank of requests that are not deferred. */
    private static final int LAST_IN_TURN = 4;

    /** The rank of a deferred request that its caller repeats: it was refused before. */
    private static final int REPEATED = 5;

    /** The last rank that engines know. */
    private static final int LAST = 9;

    /** Prevents instances. */
    private Rank() {}

    /** Returns the rank of a prompt that was processed at another engine. */
    static int handedOver() {
        return HANDED_OVER;
    }

    /** Returns the rank of a request that is taken up in turn, given the priority of its route. */
    static int inTurn(int priority) {
        return Math.min(LAST_IN_TURN, HANDED_OVER + 1 + priority);
    }

    /** Returns the rank of a deferred request that its caller repeats. */
    static int repeated() {
        return REPEATED;
    }

    /** Returns the rank of a deferred request, given the priority of its route. */
    static int deferred(int priority) {
        return Math.min(LAST, REPEATED + 1 + priority);
    }
}
