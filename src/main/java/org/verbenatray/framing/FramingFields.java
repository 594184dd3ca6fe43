package org.verbenatray.framing;

import java.util.Locale;
import java.util.OptionalLong;

/** The fields of a head that decide where its message ends and whether its connection can be used again. */
final class FramingFields {
    /** The most digits of a length, so that it fits into a long. */
    private static final int MAX_LENGTH_DIGITS = 18;

    private OptionalLong length = OptionalLong.empty();

    private boolean chunked;

    private boolean closes;

    private boolean keepsAlive;

    /**
     * Adds a field.
     *
     * @throws MalformedMessageException if the end of the message cannot be told because of it
     */
    void add(FieldLine field) throws MalformedMessageException {
        if (field.isNamed("content-length")) {
            addLength(field.value());
        } else if (field.isNamed("transfer-encoding")) {
            addCoding(field.value());
        } else if (field.isNamed("connection")) {
            addConnectionOptions(field.value());
        }
    }

    /** Returns the length of the body in bytes; empty if it is not stated. */
    OptionalLong length() {
        return length;
    }

    /** Returns whether the body is sent in chunks. */
    boolean chunked() {
        return chunked;
    }

    /** Returns whether the fields describe a body that is not empty. */
    boolean describeBody() {
        return chunked || length.orElse(0) > 0;
    }

    /** Returns whether the connection can be used again, for the given minor version of HTTP. */
    boolean persistent(int minorVersion) {
        return !closes && (minorVersion > 0 || keepsAlive);
    }

    private void addLength(String value) throws MalformedMessageException {
        if (length.isPresent()) {
            throw MalformedMessageException.of("the length is stated twice");
        }
        if (value.isEmpty()
                || value.length() > MAX_LENGTH_DIGITS
                || !value.chars().allMatch(MessageBytes::isDigit)) {
            throw MalformedMessageException.of("the length is not a number");
        }
        rejectBoth(chunked);
        length = OptionalLong.of(Long.parseLong(value));
    }

    private void addCoding(String value) throws MalformedMessageException {
        if (chunked || !value.equalsIgnoreCase("chunked")) {
            throw MalformedMessageException.of("the transfer coding is not chunked alone");
        }
        rejectBoth(length.isPresent());
        chunked = true;
    }

    private static void rejectBoth(boolean otherIsStated) throws MalformedMessageException {
        if (otherIsStated) {
            throw MalformedMessageException.of("both a length and a transfer coding are stated");
        }
    }

    private void addConnectionOptions(String value) {
        for (String option : value.toLowerCase(Locale.ROOT).split(",")) {
            closes |= option.trim().equals("close");
            keepsAlive |= option.trim().equals("keep-alive");
        }
    }
}
