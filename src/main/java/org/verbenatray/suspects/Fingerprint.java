package org.verbenatray.suspects;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;

/**
 * Identifies requests with the same customer, model and body.
 *
 * @param hex the SHA-256 in hexadecimal
 */
public record Fingerprint(String hex) implements Comparable<Fingerprint> {
    /** Returns the fingerprint of a request. */
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

    /** Adds a text with its length, so that no two lists of texts give the same bytes. */
    private static void putText(Hasher hasher, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        hasher.putInt(bytes.length);
        hasher.putBytes(bytes);
    }
}
