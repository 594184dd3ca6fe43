package org.verbenatray.framing;

/** The line before a chunk: its size in hexadecimal digits, and extensions. */
final class ChunkSize {
    /** The most digits of a size, so that it fits into a long. */
    private static final int MAX_DIGITS = 15;

    private static final int HEXADECIMAL = 16;

    private ChunkSize() {}

    /**
     * Returns the size that a line states, in bytes.
     *
     * @throws MalformedMessageException if the line does not begin with a size
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
        return size;
    }
}
