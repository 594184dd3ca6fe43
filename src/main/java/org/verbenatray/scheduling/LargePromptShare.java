package org.verbenatray.scheduling;

/**
 * Decides which large prompts are scheduled with regular priority although they are expected late: those needed to keep
 * the share of large prompts scheduled so at a fixed ratio of that of the other prompts. Shares are moving averages.
 */
public final class LargePromptShare {
    /** Targeted ratio of the regular share of large prompts to that of the others. */
    private static final double LARGE_TO_OTHER_RATIO = 0.4;

    /** Weight of the newest prompt in the moving averages. */
    private static final double NEWEST_WEIGHT = 0.05;

    /** Share of large prompts scheduled with regular priority. */
    private double largeShare = 1;

    /** Share of the other prompts scheduled with regular priority. */
    private double otherShare = 1;

    private LargePromptShare() {}

    /** Creates the moving averages, both at 1, before the first prompt. */
    public static LargePromptShare create() {
        return new LargePromptShare();
    }

    /** Records whether a prompt that is not large is scheduled with regular priority. */
    void recordOther(boolean regular) {
        otherShare += ((regular ? 1 : 0) - otherShare) * NEWEST_WEIGHT;
    }

    /**
     * Decides whether a large prompt is scheduled with regular priority, given whether it is expected on time, and
     * records the decision.
     */
    boolean admitLarge(boolean onTime) {
        boolean regular = onTime || largeShare < LARGE_TO_OTHER_RATIO * otherShare;
        largeShare += ((regular ? 1 : 0) - largeShare) * NEWEST_WEIGHT;
        return regular;
    }
}
