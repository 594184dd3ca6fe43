package org.verbenatray.framing;

import java.nio.ByteBuffer;

/** Follows a body in chunks, from its first chunk to the end of its trailer. */
final class ChunkTracker implements BodyTracker {
    private final LineBuffer line = new LineBuffer();

    private Part part = Part.SIZE;

    /** The data of the chunk that has not arrived. */
    private LengthTracker data = new LengthTracker(0);

    @Override
    public void take(ByteBuffer received) throws MalformedMessageException {
        while (received.hasRemaining() && part != Part.DONE) {
            if (part == Part.DATA) {
                takeData(received);
            } else if (line.take(received)) {
                endLine();
            }
        }
    }

    @Override
    public boolean isComplete() {
        return part == Part.DONE;
    }

    private void takeData(ByteBuffer received) {
        data.take(received);
        if (data.isComplete()) {
            part = Part.DATA_END;
        }
    }

    private void endLine() throws MalformedMessageException {
        switch (part) {
            case SIZE -> startChunk(ChunkSize.of(line));
            case DATA_END -> endChunk();
            default -> addTrailerLine();
        }
    }

    private void startChunk(long bytes) {
        data = new LengthTracker(bytes);
        part = bytes == 0 ? Part.TRAILER : Part.DATA;
    }

    private void endChunk() throws MalformedMessageException {
        if (line.length() > 0) {
            throw MalformedMessageException.of("a chunk is longer than its size");
        }
        part = Part.SIZE;
    }

    private void addTrailerLine() throws MalformedMessageException {
        if (line.length() == 0) {
            part = Part.DONE;
        } else {
            FieldLine.of(line);
        }
    }

    /** The parts of a body in chunks. */
    private enum Part {
        /** The line with the size of a chunk. */
        SIZE,
        /** The data of a chunk. */
        DATA,
        /** The line end behind the data of a chunk. */
        DATA_END,
        /** The fields behind the last chunk, up to an empty line. */
        TRAILER,
        /** Nothing more belongs to the body. */
        DONE
    }
}
