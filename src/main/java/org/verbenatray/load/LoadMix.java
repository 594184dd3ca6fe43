package org.verbenatray.load;

import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import org.verbenatray.standin.engine.TokenText;

/** Draws calls of a mix whose part of long reviews shifts over time. */
public final class LoadMix {
    /** The characters of the prompt of a check. */
    private static final int CHECK_CHARS = 800;

    /** The tokens of the answer of a check. */
    private static final int CHECK_TOKENS = 24;

    /** The characters of the prompt of a review. */
    private static final int REVIEW_CHARS = 24_000;

    /** The tokens of the answer of a review. */
    private static final int REVIEW_TOKENS = 160;

    /** The part of issuances. */
    private static final double ISSUANCES = 0.15;

    /** The source of randomness. */
    private final SplittableRandom random;

    /** The wall clock for the keys of issuances. */
    private final java.time.Clock clock;

    /** The calls so far. */
    private long calls;

    /** Creates a mix. */
    private LoadMix(long seed, java.time.Clock clock) {
        this.random = new SplittableRandom(seed);
        this.clock = clock;
    }

    /** Returns a mix drawn from the given seed. */
    public static LoadMix create(long seed, java.time.Clock clock) {
        return new LoadMix(seed, clock);
    }

    /** Returns the next call, a review with the given part. */
    public LoadCall next(double reviews) {
        calls++;
        double draw = random.nextDouble();
        if (draw < ISSUANCES) {
            return issuance();
        }
        return draw < ISSUANCES + reviews * (1 - ISSUANCES)
                ? completion(CallKind.REVIEW, "trade-review", REVIEW_CHARS, REVIEW_TOKENS)
                : completion(CallKind.CHECK, "gate-check", CHECK_CHARS, CHECK_TOKENS);
    }

    /** Returns a call of a plain service under a key of its own. */
    private LoadCall issuance() {
        String key = UuidV7.at(clock.millis(), random).toString();
        String body = "{\"certificate\":\"" + key + "\"}";
        return new LoadCall(
                CallKind.ISSUANCE,
                "/services/registry/certificates",
                Map.of("Idempotency-Key", key),
                body,
                Optional.empty());
    }

    /** Returns a completion whose text is known. */
    private LoadCall completion(CallKind kind, String model, int promptChars, int tokens) {
        long seed = random.nextLong(Long.MAX_VALUE);
        String prompt = ("request " + calls + " ").repeat(promptChars / 8 + 1).substring(0, promptChars);
        String body = "{\"model\":\"" + model + "\",\"prompt\":\"" + prompt + "\",\"max_tokens\":" + tokens
                + ",\"seed\":" + seed + ",\"stream\":true}";
        return new LoadCall(kind, "/v1/completions", Map.of(), body, Optional.of(TokenText.between(seed, 0, tokens)));
    }
}
