package org.verbenatray.load;

import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import org.verbenatray.standin.engine.TokenText;

/** Generates a seeded mix of calls whose share of long reviews is given for each call. */
public final class LoadMix {
    private static final int CHECK_PROMPT_CHARS = 800;

    private static final int CHECK_OUTPUT_TOKENS = 24;

    private static final int REVIEW_PROMPT_CHARS = 24_000;

    private static final int REVIEW_OUTPUT_TOKENS = 160;

    /** The share of issuances among all calls. */
    private static final double ISSUANCE_SHARE = 0.15;

    private final SplittableRandom random;

    /** The wall clock for the timestamps in the idempotency keys of issuances. */
    private final java.time.Clock clock;

    private long callCount;

    private LoadMix(long seed, java.time.Clock clock) {
        this.random = new SplittableRandom(seed);
        this.clock = clock;
    }

    /** Returns a mix generated from the given seed. */
    public static LoadMix create(long seed, java.time.Clock clock) {
        return new LoadMix(seed, clock);
    }

    /** Returns the next call; among completions, reviews have the given share from 0 to 1. */
    public LoadCall next(double reviewShare) {
        callCount++;
        double draw = random.nextDouble();
        if (draw < ISSUANCE_SHARE) {
            return issuance();
        }
        return draw < ISSUANCE_SHARE + reviewShare * (1 - ISSUANCE_SHARE)
                ? completion(LoadCallKind.REVIEW, "long-review", REVIEW_PROMPT_CHARS, REVIEW_OUTPUT_TOKENS)
                : completion(LoadCallKind.CHECK, "quick-check", CHECK_PROMPT_CHARS, CHECK_OUTPUT_TOKENS);
    }

    /** Returns a call of a plain service with a new idempotency key. */
    private LoadCall issuance() {
        String key = UuidV7.create(clock.millis(), random).toString();
        String body = "{\"certificate\":\"" + key + "\"}";
        return new LoadCall(
                LoadCallKind.ISSUANCE,
                "/services/registry/certificates",
                Map.of("Idempotency-Key", key),
                body,
                Optional.empty());
    }

    /** Returns a completion with the text that a stand-in engine generates for its seed. */
    private LoadCall completion(LoadCallKind kind, String model, int promptChars, int tokens) {
        long seed = random.nextLong(Long.MAX_VALUE);
        String prompt =
                ("request " + callCount + " ").repeat(promptChars / 8 + 1).substring(0, promptChars);
        String body = "{\"model\":\"" + model + "\",\"prompt\":\"" + prompt + "\",\"max_tokens\":" + tokens
                + ",\"seed\":" + seed + ",\"stream\":true}";
        return new LoadCall(
                kind, "/v1/completions", Map.of(), body, Optional.of(TokenText.tokensBetween(seed, 0, tokens)));
    }
}
