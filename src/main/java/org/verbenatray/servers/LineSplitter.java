package org.verbenatray.servers;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

/** Splits a stream of bytes into lines of UTF-8 text of a bounded length. */
public final class LineSplitter {
    /** The longest line in bytes. */
    private static final int MAX_LINE_BYTES = 1024 * 1024;

    /** The receiver of whole lines. */
    private final Consumer<String> receiver;

    /** The line so far. */
    private final ByteArrayOutputStream line = new ByteArrayOutputStream(256);

    /** Creates a splitter. */
    public LineSplitter(Consumer<String> receiver) {
        this.receiver = receiver;
    }

    /** Takes the next bytes; fails with an {@link IllegalArgumentException} when a line is too long. */
    public void take(ByteBuffer piece) {
        while (piece.hasRemaining()) {
            byte next = piece.get();
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
