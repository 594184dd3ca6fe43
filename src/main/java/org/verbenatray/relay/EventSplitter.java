package org.verbenatray.relay;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;
import java.util.function.Consumer;

/** Splits the bytes of a server-sent event stream into whole events; a truncated event is never emitted. */
final class EventSplitter {
    private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);

    private final ByteArrayOutputStream partial = new ByteArrayOutputStream();

    /** Whether the current line is empty so far, carriage returns aside. */
    private boolean lineEmpty;

    /** Consumes the bytes and emits the events that they complete. */
    void feed(ByteBuffer bytes, Consumer<StreamEvent> onEvent) {
        while (bytes.hasRemaining()) {
            byte next = bytes.get();
            partial.write(next);
            if (next == '\n') {
                if (lineEmpty) {
                    emit(onEvent);
                } else {
                    lineEmpty = true;
                }
            } else if (next != '\r') {
                lineEmpty = false;
            }
        }
    }

    /** Returns whether the bytes so far end inside an event. */
    boolean isInsideEvent() {
        return partial.size() > 0;
    }

    /** Returns the number of bytes of the event that is not complete yet. */
    int partialBytes() {
        return partial.size();
    }

    private void emit(Consumer<StreamEvent> onEvent) {
        byte[] event = partial.toByteArray();
        partial.reset();
        lineEmpty = false;
        onEvent.accept(new StreamEvent(event, idOf(event)));
    }

    /** Returns the value of the first line with an id; empty if there is none. */
    private static Optional<String> idOf(byte[] event) {
        int lineStart = 0;
        for (int index = 0; index < event.length; index++) {
            if (event[index] == '\n') {
                if (startsWithId(event, lineStart, index)) {
                    int valueStart = lineStart + ID_FIELD.length;
                    return Optional.of(
                            new String(event, valueStart, index - valueStart, StandardCharsets.UTF_8).trim());
                }
                lineStart = index + 1;
            }
        }
        return Optional.empty();
    }

    private static boolean startsWithId(byte[] event, int lineStart, int lineEnd) {
        return lineEnd - lineStart >= ID_FIELD.length
                && Arrays.equals(event, lineStart, lineStart + ID_FIELD.length, ID_FIELD, 0, ID_FIELD.length);
    }
}
