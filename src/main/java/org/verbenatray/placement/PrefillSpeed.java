package org.verbenatray.placement;

/** Learns how many prompt tokens an idle prefill engine processes in a millisecond. */
public final class PrefillSpeed {
    /** The speed assumed before the first measurement, in tokens per millisecond. */
    private static final double ASSUMED = 30;

    /** The smallest prompt that tells something of the speed, in tokens. */
    private static final int MIN_TOKENS = 1_500;

    /** The share of a faster measurement that is taken over: waiting only ever makes a measurement slower. */
    private static final double UPWARD = 0.5;

    /** The share of a slower measurement that is taken over. */
    private static final double DOWNWARD = 0.01;

    /** The speed in tokens per millisecond. */
    private double speed = ASSUMED;

    /** Creates an estimate. */
    private PrefillSpeed() {}

    /** Returns an estimate that has seen no prompt yet. */
    public static PrefillSpeed unmeasured() {
        return new PrefillSpeed();
    }

    /** Takes the time in milliseconds that an engine needed for the tokens that it had to process. */
    public void measured(int tokens, double millis) {
        if (tokens < MIN_TOKENS || millis <= 0) {
            return;
        }
        double sample = tokens / millis;
        speed += (sample - speed) * (sample > speed ? UPWARD : DOWNWARD);
    }

    /** Returns the expected time for the given tokens in milliseconds. */
    public double millisFor(long tokens) {
        return tokens / speed;
    }
}
