package org.verbenatray.fleet;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Splits a prompt into blocks of {@value #BLOCK_TOKENS} tokens and computes their chained hashes, which identify cached
 * prefixes. Token counts are estimated at {@value #CHARS_PER_TOKEN} characters per token.
 */
public final class PromptBlocks {
    /** The length of one block in tokens. */
    public static final int BLOCK_TOKENS = 2_000;

    /** The assumed number of characters per token. */
    public static final int CHARS_PER_TOKEN = 4;

    private static final int BLOCK_CHARS = BLOCK_TOKENS * CHARS_PER_TOKEN;

    /** The hash function, which gives the same results in every process. */
    private static final HashFunction HASH = Hashing.murmur3_128();

    private PromptBlocks() {}

    /** Returns the estimated length of a text in tokens, rounded up. */
    public static int tokens(CharSequence text) {
        return (text.length() + CHARS_PER_TOKEN - 1) / CHARS_PER_TOKEN;
    }

    /**
     * Returns the chained hashes of the complete blocks of a prompt. Equal hashes at the same index mean equal prefixes
     * for the same model and adapter.
     *
     * @param model the model with its version and adapter, which is part of the hash because their KV caches differ
     * @param prompt the text of the prompt
     */
    public static List<Long> hashes(String model, CharSequence prompt) {
        int blocks = prompt.length() / BLOCK_CHARS;
        List<Long> hashes = new ArrayList<>(blocks);
        long previous = HASH.hashString(model, StandardCharsets.UTF_8).asLong();
        for (int block = 0; block < blocks; block++) {
            Hasher hasher = HASH.newHasher().putLong(previous);
            hasher.putUnencodedChars(prompt.subSequence(block * BLOCK_CHARS, (block + 1) * BLOCK_CHARS));
            previous = hasher.hash().asLong();
            hashes.add(previous);
        }
        return hashes;
    }
}
