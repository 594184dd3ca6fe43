package org.verbenatray.datagrams;

import com.google.protobuf.CodedOutputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;

/** Writes datagrams as protobuf messages, of which the first byte tells the kind. */
public final class Datagrams {
    private Datagrams() {}

    /** Returns a message with the fields that the writer writes. */
    public static byte[] write(FieldWriter writer) {
        try {
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            CodedOutputStream out = CodedOutputStream.newInstance(bytes);
            writer.writeTo(out);
            out.flush();
            return bytes.toByteArray();
        } catch (IOException e) {
            throw new UncheckedIOException("writing to memory failed", e);
        }
    }

    /** Returns whether a datagram begins with the byte that marks a kind. */
    public static boolean beginsWith(byte[] datagram, int firstByte) {
        return datagram.length > 0 && datagram[0] == (byte) firstByte;
    }

    /** Writes the fields of a message. */
    @FunctionalInterface
    public interface FieldWriter {
        /** Writes the fields in order; the stream holds them in memory. */
        void writeTo(CodedOutputStream out) throws IOException;
    }
}
