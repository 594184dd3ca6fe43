package org.verbenatray.standin.engine;

/** The text of generated tokens, a function of the request's seed and the token's offset. */
public final class TokenText {
    /** The words that tokens are made of; the length is a power of two. */
    private static final String[] WORDS = {
        "beam", "arch", "brick", "weld", "plate", "joint", "frame", "panel",
        "gate", "stand", "apron", "route", "crew", "shift", "check", "pass",
        "code", "rule", "load", "span", "bolt", "form", "pour", "cure",
        "north", "south", "east", "west", "early", "late", "clear", "hold"
    };

    /** The odd constant that spreads offsets over the words. */
    private static final long MULTIPLIER = 0x9E3779B97F4A7C15L;

    /** Prevents instances. */
    private TokenText() {}

    /** Returns the token at the given offset, which begins with a space. */
    public static String at(long seed, int offset) {
        long mixed = (seed + offset * MULTIPLIER) * MULTIPLIER;
        mixed ^= mixed >>> 29;
        mixed *= MULTIPLIER;
        int word = (int) (mixed >>> 40) & (WORDS.length - 1);
        return " " + WORDS[word] + (mixed >>> 56);
    }

    /** Returns the concatenated tokens from one offset to another, the latter exclusive. */
    public static String between(long seed, int fromOffset, int toOffset) {
        StringBuilder text = new StringBuilder();
        for (int offset = fromOffset; offset < toOffset; offset++) {
            text.append(at(seed, offset));
        }
        return text.toString();
    }
}
