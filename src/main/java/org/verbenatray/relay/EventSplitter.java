package org.verbenatray.relay;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.function.Consumer;

/** Splits the bytes of a stream into whole events; an event that is cut off is never passed on. */
final class EventSplitter {
    /** The field that names an event. */
    private static final String ID_FIELD = "id:";

    /** The bytes of the event that isn't complete yet. */
    private final ByteArrayOutputStream partial = new ByteArrayOutputStream();

    /** Whether nothing but line ends followed the last line end. */
    private boolean lineEmpty;

    /** Takes bytes and passes on the events that they complete. */
    void feed(ByteBuffer bytes, Consumer<StreamEvent> onEvent) {
        while (bytes.hasRemaining()) {
            byte next = bytes.get();
            partial.write(next);
            if (next == '\n') {
                if (lineEmpty) {
                    complete(onEvent);
                } else {
                    lineEmpty = true;
                }
            } else if (next != '\r') {
                lineEmpty = false;
            }
        }
    }

    /** Returns whether an event has begun and isn't complete. */
    boolean isInsideEvent() {
        return partial.size() > 0;
    }

    /** Passes on the event that is complete. */
    private void complete(Consumer<StreamEvent> onEvent) {
        byte[] event = partial.toByteArray();
        partial.reset();
        lineEmpty = false;
        onEvent.accept(new StreamEvent(event, idOf(event)));
    }

    /** Returns the id of an event. */
    private static Optional<String> idOf(byte[] event) {
        for (String line : new String(event, StandardCharsets.UTF_8).split("\r?\n")) {
            if (line.startsWith(ID_FIELD)) {
                return Optional.of(line.substring(ID_FIELD.length()).trim());
            }
        }
        return Optional.empty();
    }
}
