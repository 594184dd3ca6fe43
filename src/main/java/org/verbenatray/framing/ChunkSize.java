package org.verbenatray.framing;

import java.util.regex.Pattern;

/** The line before a chunk: its size in hexadecimal digits, and extensions. */
final class ChunkSize {
    /** The most digits of a size, so that it fits into a long. */
    private static final int MAX_DIGITS = 15;

    private static final int HEXADECIMAL = 16;

    private static final String BLANKS = "[ \\t]*+";

    private static final String TOKEN = "[!#$%&'*+\\-.^_`|~0-9A-Za-z]++";

    private static final String QUOTED = "\"(?:[\\t !#-\\[\\]-~\\x80-\\xff]|\\\\[\\t -~\\x80-\\xff])*+\"";

    /** Names, each of which may have a value. Possessive, so that a long line takes neither much time nor stack. */
    private static final Pattern EXTENSIONS = Pattern.compile("(?:" + BLANKS + ";" + BLANKS + TOKEN + "(?:" + BLANKS
            + "=" + BLANKS + "(?:" + TOKEN + "|" + QUOTED + "))?+)*+");

    private ChunkSize() {}

    /**
     * Returns the size that a line states, in bytes.
     *
     * @throws MalformedMessageException if the line is not a size that extensions may follow
     */
    static long of(LineBuffer line) throws MalformedMessageException {
        int digits = 0;
        long size = 0;
        while (digits < line.length() && Character.digit(line.at(digits), HEXADECIMAL) >= 0) {
            size = HEXADECIMAL * size + Character.digit(line.at(digits), HEXADECIMAL);
            digits++;
        }
        if (digits == 0 || digits > MAX_DIGITS) {
            throw MalformedMessageException.of("the size of a chunk is not a number");
        }
        if (digits < line.length()
                && !EXTENSIONS.matcher(line.text(digits, line.length())).matches()) {
            throw MalformedMessageException.of("the size of a chunk is followed by something that is no extension");
        }
        return size;
    }
}
