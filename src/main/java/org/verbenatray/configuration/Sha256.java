package org.verbenatray.configuration;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;

/** Computes SHA-256 hashes. */
final class Sha256 {
    private Sha256() {}

    /** Returns the SHA-256 of the UTF-8 bytes of a text, in lower-case hexadecimal. */
    static String hexDigest(String text) {
        return Hashing.sha256().hashString(text, StandardCharsets.UTF_8).toString();
    }
}
