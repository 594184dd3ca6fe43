package org.verbenatray.fleet;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Cuts a prompt into pieces of 2,000 tokens, at 4 characters a token, and computes their chained hashes. */
public final class PromptPieces {
    /** The tokens of one piece. */
    public static final int PIECE_TOKENS = 2_000;

    /** The characters that stand for one token. */
    public static final int CHARS_PER_TOKEN = 4;

    /** The characters of one piece. */
    private static final int PIECE_CHARS = PIECE_TOKENS * CHARS_PER_TOKEN;

    /** The hash of a piece, the same in every process. */
    private static final HashFunction HASH = Hashing.murmur3_128();

    /** Has no instances. */
    private PromptPieces() {}

    /** Returns the length of a text in tokens, rounded up. */
    public static int tokens(CharSequence text) {
        return (text.length() + CHARS_PER_TOKEN - 1) / CHARS_PER_TOKEN;
    }

    /**
     * Returns the chained hashes of the whole pieces of a prompt; equal hashes at one index mean an equal prefix of the
     * same model and adapter.
     *
     * @param model the model with its version and adapter, because their KV caches differ
     * @param prompt the text
     */
    public static List<Long> hashes(String model, CharSequence prompt) {
        int pieces = prompt.length() / PIECE_CHARS;
        List<Long> hashes = new ArrayList<>(pieces);
        long previous = HASH.hashString(model, StandardCharsets.UTF_8).asLong();
        for (int piece = 0; piece < pieces; piece++) {
            Hasher hasher = HASH.newHasher().putLong(previous);
            hasher.putUnencodedChars(prompt.subSequence(piece * PIECE_CHARS, (piece + 1) * PIECE_CHARS));
            previous = hasher.hash().asLong();
            hashes.add(previous);
        }
        return hashes;
    }
}
