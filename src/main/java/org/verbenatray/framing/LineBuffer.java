package org.verbenatray.framing;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** Assembles the lines of a message, each of which ends with a carriage return and a line feed. */
final class LineBuffer {
    /** The longest line; no reader accepts a longer head. */
    static final int MAX_LINE_BYTES = 64 * 1024;

    private static final int MIN_CAPACITY_BYTES = 128;

    private byte[] bytes = new byte[MIN_CAPACITY_BYTES];

    /** The number of bytes of the line so far, with its carriage return. */
    private int size;

    /** Whether the line is complete; the next byte then begins another one. */
    private boolean complete;

    /**
     * Takes bytes up to the end of the line. Returns whether the line is complete.
     *
     * @throws MalformedMessageException if a line feed stands without a carriage return, or the line is too long
     */
    boolean take(ByteBuffer received) throws MalformedMessageException {
        if (complete) {
            complete = false;
            size = 0;
        }
        while (received.hasRemaining()) {
            byte next = received.get();
            if (next == '\n') {
                if (size == 0 || bytes[size - 1] != '\r') {
                    throw MalformedMessageException.of("a line ends with a line feed alone");
                }
                size--;
                complete = true;
                return true;
            }
            append(next);
        }
        return false;
    }

    /** Returns the number of bytes of the complete line, without its end. */
    int length() {
        return size;
    }

    /** Returns the byte of the complete line at an index. */
    byte at(int index) {
        return bytes[index];
    }

    /** Returns a part of the complete line. */
    String text(int from, int to) {
        return new String(bytes, from, to - from, StandardCharsets.ISO_8859_1);
    }

    private void append(byte next) throws MalformedMessageException {
        if (size == MAX_LINE_BYTES) {
            throw MalformedMessageException.of("a line is longer than " + MAX_LINE_BYTES + " bytes");
        }
        if (size == bytes.length) {
            bytes = Arrays.copyOf(bytes, 2 * size);
        }
        bytes[size++] = next;
    }
}
