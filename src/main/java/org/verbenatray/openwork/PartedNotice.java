package org.verbenatray.openwork;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import com.google.protobuf.CodedInputStream;
import com.google.protobuf.WireFormat;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.InflaterInputStream;
import org.verbenatray.datagrams.Datagrams;

/**
 * A notice that does not fit a datagram: it is compressed and sent in parts, which its receiver puts together again. A
 * notice with a lost part is dropped; its sender repeats it. Used on one thread.
 */
final class PartedNotice {
    /** The largest part in bytes, which leaves room for the other fields in a datagram. */
    private static final int MAX_PART_BYTES = 7_900;

    /** The most parts of a notice; a larger one is not sent. */
    private static final int MAX_PARTS = 8;

    /** The largest notice in bytes, before it is compressed. */
    private static final int MAX_BYTES = 512 * 1024;

    /** The number of incomplete notices that a receiver keeps. */
    private static final int MAX_INCOMPLETE = 4;

    /** First in each datagram, and in no other kind of datagram on the same port: the bytes of the part. */
    private static final int PART = 11;

    /** A hash of the notice, the same in all its parts. */
    private static final int NOTICE = 2;

    /** The number of the part, from zero. */
    private static final int NUMBER = 3;

    /** The number of parts. */
    private static final int COUNT = 4;

    private static final int FIRST_BYTE = PART << 3 | WireFormat.WIRETYPE_LENGTH_DELIMITED;

    private static final HashFunction HASH = Hashing.murmur3_128();

    /** The parts of incomplete notices by the hash of the notice, oldest first; a missing part is null. */
    private final Map<Long, byte[][]> incomplete = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, byte[][]> eldest) {
            return size() > MAX_INCOMPLETE;
        }
    };

    private PartedNotice() {}

    /** Creates a receiver that knows of no part. */
    static PartedNotice receiver() {
        return new PartedNotice();
    }

    /** Returns whether a datagram holds a part. */
    static boolean recognizes(byte[] datagram) {
        return Datagrams.beginsWith(datagram, FIRST_BYTE);
    }

    /** Returns the datagrams of a notice; none if it is too large. */
    static List<byte[]> split(byte[] notice) {
        byte[] compressed = compress(notice);
        int count = (compressed.length + MAX_PART_BYTES - 1) / MAX_PART_BYTES;
        if (notice.length > MAX_BYTES || count > MAX_PARTS) {
            return List.of();
        }
        long hash = HASH.hashBytes(notice).asLong();
        List<byte[]> datagrams = new ArrayList<>();
        for (int number = 0; number < count; number++) {
            int from = number * MAX_PART_BYTES;
            int to = Math.min(compressed.length, from + MAX_PART_BYTES);
            datagrams.add(encode(Arrays.copyOfRange(compressed, from, to), hash, number, count));
        }
        return datagrams;
    }

    /**
     * Receives a datagram and returns the notice that it completes.
     *
     * @throws IOException if the datagram or the notice is malformed
     */
    Optional<byte[]> receive(byte[] datagram) throws IOException {
        CodedInputStream in = CodedInputStream.newInstance(datagram);
        byte[] part = new byte[0];
        long hash = 0;
        int number = 0;
        int count = 0;
        for (int tag = in.readTag(); tag != 0; tag = in.readTag()) {
            switch (WireFormat.getTagFieldNumber(tag)) {
                case PART -> part = in.readByteArray();
                case NOTICE -> hash = in.readFixed64();
                case NUMBER -> number = in.readUInt32();
                case COUNT -> count = in.readUInt32();
                default -> in.skipField(tag);
            }
        }
        if (count < 1 || count > MAX_PARTS || number < 0 || number >= count) {
            throw new IOException("part " + number + " of " + count);
        }
        return add(part, hash, number, count);
    }

    private Optional<byte[]> add(byte[] part, long hash, int number, int count) throws IOException {
        byte[][] parts = incomplete.computeIfAbsent(hash, key -> new byte[count][]);
        if (parts.length != count) {
            throw new IOException("the parts of a notice differ in their number");
        }
        parts[number] = part;
        if (Arrays.stream(parts).anyMatch(each -> each == null)) {
            return Optional.empty();
        }
        incomplete.remove(hash);
        return Optional.of(expand(parts));
    }

    private static byte[] encode(byte[] part, long hash, int number, int count) {
        return Datagrams.write(out -> {
            out.writeByteArray(PART, part);
            out.writeFixed64(NOTICE, hash);
            out.writeUInt32(NUMBER, number);
            out.writeUInt32(COUNT, count);
        });
    }

    private static byte[] compress(byte[] notice) {
        try {
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            try (DeflaterOutputStream out = new DeflaterOutputStream(bytes)) {
                out.write(notice);
            }
            return bytes.toByteArray();
        } catch (IOException e) {
            throw new UncheckedIOException("writing to memory failed", e);
        }
    }

    private static byte[] expand(byte[][] parts) throws IOException {
        ByteArrayOutputStream compressed = new ByteArrayOutputStream();
        for (byte[] part : parts) {
            compressed.write(part);
        }
        InputStream in = new InflaterInputStream(new ByteArrayInputStream(compressed.toByteArray()));
        byte[] notice = in.readNBytes(MAX_BYTES + 1);
        if (notice.length > MAX_BYTES) {
            throw new IOException("a notice is larger than " + MAX_BYTES + " bytes");
        }
        return notice;
    }
}
