package org.verbenatray.authority;

import java.nio.charset.StandardCharsets;

/**
 * The content of a record of a {@link LogLease}: the name of its author and the epoch of the log in which it was
 * written. Records of earlier versions hold the name alone.
 */
final class LeaseRecord {
    /** A record that only takes up an offset. */
    static final byte[] SKIPPED = {0};

    /** Separates the name from the epoch; no name contains it. */
    private static final char SEPARATOR = '\n';

    private LeaseRecord() {}

    /** Returns the content of a record of the given author. */
    static byte[] encode(String author, long epoch) {
        return (author + SEPARATOR + epoch).getBytes(StandardCharsets.UTF_8);
    }

    /** Returns the epoch in which a record was written; zero if it names none. */
    static long epochOf(byte[] content) {
        String text = new String(content, StandardCharsets.UTF_8);
        int separator = text.indexOf(SEPARATOR);
        if (separator < 0) {
            return 0;
        }
        try {
            return Long.parseLong(text.substring(separator + 1));
        } catch (NumberFormatException e) {
            // A record of another version, which names its epoch in another way.
            return 0;
        }
    }
}
