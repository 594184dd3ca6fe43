package org.verbenatray.configuration;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;

/** SHA-256 in hexadecimal. */
final class Sha256 {
    /** Prevents instances. */
    private Sha256() {}

    /** Returns the hash of a text. */
    static String of(String text) {
        return Hashing.sha256().hashString(text, StandardCharsets.UTF_8).toString();
    }
}
