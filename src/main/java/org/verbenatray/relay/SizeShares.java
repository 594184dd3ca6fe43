package org.verbenatray.relay;

/**
 * Decides when a large prompt is taken up in turn though it can't be on time: as long as large prompts fall behind the
 * share of the others that are.
 */
public final class SizeShares {
    /** The share of large prompts in turn for each share of the others. */
    private static final double LARGE_PER_OTHER = 0.4;

    /** The weight of the newest prompt in a share. */
    private static final double NEWEST = 0.05;

    /** The share of large prompts that were taken up in turn. */
    private double large = 1;

    /** The share of the others that were. */
    private double others = 1;

    /** Creates shares of no prompts. */
    private SizeShares() {}

    /** Returns shares that have seen no prompt yet. */
    public static SizeShares unseen() {
        return new SizeShares();
    }

    /** Notes whether a prompt that is not large is taken up in turn. */
    void other(boolean inTurn) {
        others += ((inTurn ? 1 : 0) - others) * NEWEST;
    }

    /** Returns whether a large prompt is taken up in turn, given whether it can be on time, and notes it. */
    boolean takesLarge(boolean onTime) {
        boolean inTurn = onTime || large < LARGE_PER_OTHER * others;
        large += ((inTurn ? 1 : 0) - large) * NEWEST;
        return inTurn;
    }
}
