package org.verbenatray.state;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/** Computes the hash by which a damaged snapshot is detected. */
final class SnapshotHash {
    private SnapshotHash() {}

    /** Returns the SHA-256 hash of the parts in the order of their names, in hexadecimal. */
    static String of(Map<String, String> parts) {
        Hasher hasher = Hashing.sha256().newHasher();
        new TreeMap<>(parts).forEach((name, state) -> {
            putText(hasher, name);
            putText(hasher, state);
        });
        return hasher.hash().toString();
    }

    /** Adds a length-prefixed text, so that different lists of texts never produce the same bytes. */
    private static void putText(Hasher hasher, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        hasher.putInt(bytes.length);
        hasher.putBytes(bytes);
    }
}
