package org.verbenatray.bench;

import java.util.Optional;
import java.util.function.DoubleUnaryOperator;

/**
 * How the mix of requests changes over an experiment.
 *
 * @param name the name
 * @param promptHeavy the share of prompt-heavy work from 0 to 1 at a time in seconds
 * @param intensity the factor of all rates at a time in seconds
 * @param withdrawal when one engine of each larger failure domain is withdrawn, if ever
 */
public record MixShape(
        String name, DoubleUnaryOperator promptHeavy, DoubleUnaryOperator intensity, Optional<Withdrawal> withdrawal) {
    /** The length of an experiment in seconds. */
    public static final int SECONDS = 300;

    /** The prefix of the names of oscillations, which the period in seconds follows. */
    private static final String OSCILLATION = "oscillation-";

    /** Returns the shape of the given name, or empty when there is none. */
    public static Optional<MixShape> named(String name) {
        if (name.startsWith(OSCILLATION)) {
            return oscillation(name);
        }
        return switch (name) {
            case "step" -> Optional.of(steady(name, seconds -> seconds < 120 ? 1 : 0));
            case "back" -> Optional.of(steady(name, seconds -> seconds < 120 ? 0 : 1));
            case "ramp" -> Optional.of(steady(name, seconds -> 1 - Math.max(0, Math.min(1, (seconds - 60) / 180))));
            case "surge" ->
                Optional.of(new MixShape(
                        name,
                        seconds -> surging(seconds) ? 1 : 0,
                        seconds -> surging(seconds) ? 1.1 : 1,
                        Optional.of(new Withdrawal(100, 200))));
            default -> Optional.empty();
        };
    }

    /** Returns whether the surge lasts at a time in seconds. */
    private static boolean surging(double seconds) {
        return seconds >= 100 && seconds < 200;
    }

    /** Returns the oscillation that a name states. */
    private static Optional<MixShape> oscillation(String name) {
        String period = name.substring(OSCILLATION.length());
        if (!period.matches("[1-9][0-9]{0,3}")) {
            return Optional.empty();
        }
        double seconds = Integer.parseInt(period);
        return Optional.of(steady(name, time -> (time / seconds) % 1 < 0.5 ? 1 : 0));
    }

    /** Returns a shape at full intensity without withdrawals. */
    private static MixShape steady(String name, DoubleUnaryOperator promptHeavy) {
        return new MixShape(name, promptHeavy, seconds -> 1, Optional.empty());
    }

    /**
     * When an engine is withdrawn and comes back.
     *
     * @param fromSeconds when it starts to leave in seconds
     * @param toSeconds when it is back in seconds
     */
    public record Withdrawal(int fromSeconds, int toSeconds) {}
}
