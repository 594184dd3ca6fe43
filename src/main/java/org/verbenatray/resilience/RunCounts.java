package org.verbenatray.resilience;

/**
 * Counts of runs for one model.
 *
 * @param completed the number of requests that have run to their end
 * @param established the number of runs that went on after their beginning
 */
record RunCounts(long completed, long established) {
    /** The counts before the first run. */
    static final RunCounts NONE = new RunCounts(0, 0);

    /** Returns these counts with one more request that has run to its end. */
    RunCounts plusCompleted() {
        return new RunCounts(completed + 1, established);
    }

    /** Returns these counts with one more run that went on after its beginning. */
    RunCounts plusEstablished() {
        return new RunCounts(completed, established + 1);
    }
}
