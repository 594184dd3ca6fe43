package org.verbenatray.state;

import com.google.common.io.ByteStreams;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.zip.GZIPInputStream;
import java.util.zip.GZIPOutputStream;

/** Encodes the state of a part for a snapshot: long texts are compressed with gzip and marked by a prefix. */
final class PartCodec {
    /** The length from which on a text is compressed, in characters. */
    private static final int MIN_COMPRESSED_CHARS = 1_024;

    /** The largest uncompressed size that is accepted, in bytes. */
    private static final int MAX_UNPACKED_BYTES = 134_217_728;

    /** The prefix of a compressed text, which is followed by Base64. */
    private static final String COMPRESSED_PREFIX = "gzip:";

    private PartCodec() {}

    /** Returns the form in which a snapshot stores the state. */
    static String pack(String state) {
        return state.length() < MIN_COMPRESSED_CHARS
                ? state
                : COMPRESSED_PREFIX + Base64.getEncoder().encodeToString(compress(state));
    }

    /** Returns the state of a packed form; throws an {@link IllegalArgumentException} if it is damaged or too large. */
    static String unpack(String packed) {
        if (!packed.startsWith(COMPRESSED_PREFIX)) {
            return packed;
        }
        byte[] compressed = Base64.getDecoder().decode(packed.substring(COMPRESSED_PREFIX.length()));
        try (InputStream bytes = new GZIPInputStream(new ByteArrayInputStream(compressed))) {
            byte[] plain = ByteStreams.limit(bytes, MAX_UNPACKED_BYTES + 1L).readAllBytes();
            if (plain.length > MAX_UNPACKED_BYTES) {
                throw new IllegalArgumentException(
                        "a part of the snapshot is larger than " + MAX_UNPACKED_BYTES + " bytes");
            }
            return new String(plain, StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new IllegalArgumentException("a part of the snapshot is damaged", e);
        }
    }

    private static byte[] compress(String state) {
        ByteArrayOutputStream compressed = new ByteArrayOutputStream();
        try (GZIPOutputStream output = new GZIPOutputStream(compressed)) {
            output.write(state.getBytes(StandardCharsets.UTF_8));
        } catch (IOException e) {
            throw new IllegalStateException("writing to memory failed", e);
        }
        return compressed.toByteArray();
    }
}
