package org.verbenatray.standin.engine;

/**
 * Generates the text of tokens as a pure function of the request's seed and the token's offset, so that any engine can
 * resume an output with the same text.
 */
public final class TokenText {
    /** The vocabulary. Its length must be a power of two because the index is masked. */
    private static final String[] WORDS = {
        "beam", "arch", "brick", "weld", "plate", "joint", "frame", "panel",
        "gate", "stand", "apron", "route", "crew", "shift", "check", "pass",
        "code", "rule", "load", "span", "bolt", "form", "pour", "cure",
        "north", "south", "east", "west", "early", "late", "clear", "hold"
    };

    /** Odd multiplier (2^64 divided by the golden ratio) that spreads consecutive offsets over the vocabulary. */
    private static final long MULTIPLIER = 0x9E3779B97F4A7C15L;

    private TokenText() {}

    /** Returns the token at the given offset. It starts with a space. */
    public static String tokenAt(long seed, int offset) {
        long mixed = (seed + offset * MULTIPLIER) * MULTIPLIER;
        mixed ^= mixed >>> 29;
        mixed *= MULTIPLIER;
        int word = (int) (mixed >>> 40) & (WORDS.length - 1);
        return " " + WORDS[word] + (mixed >>> 56);
    }

    /** Returns the concatenated tokens from an offset (inclusive) to another (exclusive). */
    public static String tokensBetween(long seed, int fromOffset, int toOffset) {
        StringBuilder text = new StringBuilder();
        for (int offset = fromOffset; offset < toOffset; offset++) {
            text.append(tokenAt(seed, offset));
        }
        return text.toString();
    }
}
