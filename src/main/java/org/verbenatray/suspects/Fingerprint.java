package org.verbenatray.suspects;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;

/**
 * Identifies equal requests, that is requests with the same customer, model and body.
 *
 * @param hex the SHA-256 hash of customer, model and body, in hexadecimal
 */
public record Fingerprint(String hex) implements Comparable<Fingerprint> {
    /** Returns the fingerprint of the request with the given customer, model and body. */
    public static Fingerprint of(String customer, String model, byte[] body) {
        Hasher hasher = Hashing.sha256().newHasher();
        putText(hasher, customer);
        putText(hasher, model);
        hasher.putBytes(body);
        return new Fingerprint(hasher.hash().toString());
    }

    @Override
    public int compareTo(Fingerprint other) {
        return hex.compareTo(other.hex);
    }

    /** Adds a length-prefixed text, so that different lists of texts never produce the same bytes. */
    private static void putText(Hasher hasher, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        hasher.putInt(bytes.length);
        hasher.putBytes(bytes);
    }
}
