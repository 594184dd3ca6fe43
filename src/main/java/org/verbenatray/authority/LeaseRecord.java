package org.verbenatray.authority;

import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * A record of a {@link LogLease}. Records of earlier versions hold the author alone, or the author and the epoch.
 *
 * @param author the name of the process that wrote it; empty in a record that only takes up an offset
 * @param epoch the epoch of the log in which it was written; zero if unknown
 * @param released whether the author gives the lease up
 * @param fact what the holder has decided, one line of text; empty in a plain renewal
 */
record LeaseRecord(String author, long epoch, boolean released, Optional<String> fact) {
    /** A record that only takes up an offset. */
    static final byte[] SKIPPED = {0};

    /** Separates the fields; no field contains it. */
    private static final String SEPARATOR = "\n";

    /** The third field of a record that gives the lease up. */
    private static final String RELEASED = "released";

    /** The third field of a record with a fact, which follows. */
    private static final String FACT = "fact";

    /** Returns a record that claims or renews the lease. */
    static LeaseRecord renewal(String author, long epoch) {
        return new LeaseRecord(author, epoch, false, Optional.empty());
    }

    /** Returns a record that gives the lease up. */
    static LeaseRecord release(String author, long epoch) {
        return new LeaseRecord(author, epoch, true, Optional.empty());
    }

    /** Returns a record that renews the lease and states a fact. */
    static LeaseRecord stating(String author, long epoch, String fact) {
        return new LeaseRecord(author, epoch, false, Optional.of(fact));
    }

    /** Returns the content of the record. */
    byte[] encode() {
        String text = author + SEPARATOR + epoch;
        if (released) {
            text += SEPARATOR + RELEASED;
        } else if (fact.isPresent()) {
            text += SEPARATOR + FACT + SEPARATOR + fact.get();
        }
        return text.getBytes(StandardCharsets.UTF_8);
    }

    /** Returns the record with the given content. */
    static LeaseRecord decode(byte[] content) {
        String[] fields = new String(content, StandardCharsets.UTF_8).split(SEPARATOR, 4);
        String type = fields.length > 2 ? fields[2] : "";
        return new LeaseRecord(
                fields[0],
                fields.length > 1 ? parseEpoch(fields[1]) : 0,
                type.equals(RELEASED),
                type.equals(FACT) && fields.length > 3 ? Optional.of(fields[3]) : Optional.empty());
    }

    /** Returns the epoch in a field; zero if a record of another version names it in another way. */
    private static long parseEpoch(String text) {
        return text.matches("[0-9]{1,18}") ? Long.parseLong(text) : 0;
    }
}
