package org.verbenatray.state;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/** The hash that guards a snapshot. */
final class SnapshotHash {
    /** Prevents instances. */
    private SnapshotHash() {}

    /** Returns the SHA-256 over the parts in the order of their names, in hexadecimal. */
    static String of(Map<String, String> parts) {
        Hasher hasher = Hashing.sha256().newHasher();
        new TreeMap<>(parts).forEach((name, state) -> {
            putText(hasher, name);
            putText(hasher, state);
        });
        return hasher.hash().toString();
    }

    /** Adds a text with its length. */
    private static void putText(Hasher hasher, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        hasher.putInt(bytes.length);
        hasher.putBytes(bytes);
    }
}
