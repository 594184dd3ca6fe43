package org.verbenatray.resilience;

/**
 * What speaks for or against a part of prompts under which servers have ended, and with which no request has run to its
 * end since the first of them did: that one would have cleared it.
 *
 * @param completedWithout the number of requests of its model without it that have run to their end since then; counted
 *     by each instance up to {@link #MAX_RUNS}
 * @param establishedWithout the number of runs for its model that went on after their beginning since then; counted by
 *     each instance up to {@link #MAX_RUNS}
 * @param established whether a run with it went on after its beginning since then
 * @param succeededBefore whether a request with it has run to its end in the time before
 */
public record PartEvidence(int completedWithout, int establishedWithout, boolean established, boolean succeededBefore) {
    /** The most runs that are counted, which is as many as a judgement asks for. */
    static final int MAX_RUNS = 8;

    /** Crashes that block a part of prompts; one fewer than may happen, so that one may go unnoticed. */
    private static final int CRASHES_TO_BLOCK = 4;

    /** Crashes that block a part with which runs have succeeded lately. */
    private static final int TRUSTED_CRASHES_TO_BLOCK = 8;

    /** Returns the evidence for counts of runs since the first crash. */
    static PartEvidence of(RunCounts since, boolean established, boolean succeededBefore) {
        return new PartEvidence(
                (int) Math.min(MAX_RUNS, since.completed()),
                (int) Math.min(MAX_RUNS, since.established()),
                established,
                succeededBefore);
    }

    /** Returns this evidence and that of another instance together. */
    PartEvidence plus(PartEvidence other) {
        return new PartEvidence(
                completedWithout + other.completedWithout,
                establishedWithout + other.establishedWithout,
                established || other.established,
                succeededBefore || other.succeededBefore);
    }

    /** Returns these counts of runs with what speaks for the part in other evidence as well. */
    PartEvidence withDoubtsOf(PartEvidence other) {
        return new PartEvidence(
                completedWithout,
                establishedWithout,
                established || other.established,
                succeededBefore || other.succeededBefore);
    }

    /**
     * Returns whether at least the given number of runs without the part show that servers work but for it: they ended
     * well, or, where servers end so often that hardly a request runs to its end, only they went on.
     */
    boolean tellsFromOutage(int runs) {
        return completedWithout >= runs || !established && establishedWithout >= runs;
    }

    /** Returns the number of servers that must have ended under the part before it is blocked. */
    int crashesToBlock() {
        return established || succeededBefore ? TRUSTED_CRASHES_TO_BLOCK : CRASHES_TO_BLOCK;
    }
}
