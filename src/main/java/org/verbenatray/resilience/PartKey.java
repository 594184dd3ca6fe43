package org.verbenatray.resilience;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;

/**
 * The name under which the crashes of one part of prompts are counted, beside the fingerprints of requests. It has a
 * fixed length and no spaces, whatever callers call the part, and begins with its model.
 */
public final class PartKey {
    private static final String PREFIX = "part:";

    private static final char SEPARATOR = ':';

    private static final HashFunction HASH = Hashing.murmur3_128();

    private PartKey() {}

    /** Returns the key of a part of prompts for a model. */
    public static String of(String model, String partId) {
        return PREFIX + hash(model) + SEPARATOR + hash(partId);
    }

    /** Returns whether a key names a part of prompts; otherwise it is the fingerprint of a request. */
    static boolean isPart(String key) {
        return key.startsWith(PREFIX);
    }

    /** Returns what the keys of all parts of one model have in common; empty for a key that names no part. */
    static String modelOf(String key) {
        return isPart(key) ? key.substring(0, key.lastIndexOf(SEPARATOR)) : "";
    }

    private static String hash(String text) {
        return HASH.hashString(text, StandardCharsets.UTF_8).toString();
    }
}
