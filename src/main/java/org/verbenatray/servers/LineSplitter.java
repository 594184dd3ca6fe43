package org.verbenatray.servers;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

/** Splits a stream of bytes into lines of UTF-8 text of a bounded length. Not thread-safe. */
public final class LineSplitter {
    private static final int MAX_LINE_BYTES = 1024 * 1024;

    private final Consumer<String> receiver;

    /** The current line as far as received. */
    private final ByteArrayOutputStream line = new ByteArrayOutputStream(256);

    /** Creates a splitter that passes each complete line, without its line feed, to the receiver. */
    public LineSplitter(Consumer<String> receiver) {
        this.receiver = receiver;
    }

    /**
     * Adds bytes and passes on the lines that they complete.
     *
     * @throws IllegalArgumentException if a line is too long
     */
    public void feed(ByteBuffer part) {
        while (part.hasRemaining()) {
            byte next = part.get();
            if (next == '\n') {
                receiver.accept(line.toString(StandardCharsets.UTF_8));
                line.reset();
                continue;
            }
            if (line.size() >= MAX_LINE_BYTES) {
                throw new IllegalArgumentException("a line is longer than " + MAX_LINE_BYTES + " bytes");
            }
            line.write(next);
        }
    }
}
