package org.verbenatray.resilience;

/**
 * What speaks for or against a part of prompts under which servers have ended, and with which no request has run to its
 * end since the first of them did: that one would have cleared it.
 *
 * @param completedWithout the number of requests of its model without it that have run to their end since then; counted
 *     up to {@link #ENOUGH_RUNS}
 * @param establishedWithout the number of runs for its model that went on after their beginning since then; counted up
 *     to {@link #ENOUGH_RUNS}
 * @param established whether a run with it went on after its beginning since then
 * @param succeededBefore whether a request with it has run to its end in the time before
 */
public record PartEvidence(int completedWithout, int establishedWithout, boolean established, boolean succeededBefore) {
    /** Runs without a part, since its first crash, that show that servers work but for it. */
    static final int ENOUGH_RUNS = 3;

    /** Crashes that block a part of prompts; one fewer than may happen, so that one may go unnoticed. */
    private static final int CRASHES_TO_BLOCK = 4;

    /** Crashes that block a part with which runs have succeeded lately. */
    private static final int TRUSTED_CRASHES_TO_BLOCK = 8;

    /** Returns the evidence for counts of runs since the first crash. */
    static PartEvidence of(RunCounts since, boolean established, boolean succeededBefore) {
        return new PartEvidence(
                (int) Math.min(ENOUGH_RUNS, since.completed()),
                (int) Math.min(ENOUGH_RUNS, since.established()),
                established,
                succeededBefore);
    }

    /**
     * Returns whether the part is taken to crash servers that have ended under it in the given number: others succeed.
     * Where servers end so often that hardly a request runs to its end, it counts likewise which runs went on after
     * their beginning.
     */
    boolean blocksAfter(int crashes) {
        boolean othersSucceed = completedWithout >= ENOUGH_RUNS;
        boolean onlyOthersGoOn = !established && establishedWithout >= ENOUGH_RUNS;
        int enough = established || succeededBefore ? TRUSTED_CRASHES_TO_BLOCK : CRASHES_TO_BLOCK;
        return (othersSucceed || onlyOthersGoOn) && crashes >= enough;
    }
}
