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

/** The form of a part's state in a snapshot: long texts are compressed and marked. */
final class PartCodec {
    /** The length from which on a text is compressed, in characters. */
    private static final int MIN_COMPRESSED_CHARS = 1_024;

    /** The largest uncompressed size that is accepted, in bytes. */
    private static final int MAX_UNPACKED_BYTES = 134_217_728;

    /** The mark of a compressed text. */
    private static final String MARK = "gzip:";

    /** Prevents instances. */
    private PartCodec() {}

    /** Returns the form of a state in a snapshot. */
    static String pack(String state) {
        return state.length() < MIN_COMPRESSED_CHARS
                ? state
                : MARK + Base64.getEncoder().encodeToString(compress(state));
    }

    /** Returns the state of a packed form; fails with an {@link IllegalArgumentException} when it cannot be read. */
    static String unpack(String packed) {
        if (!packed.startsWith(MARK)) {
            return packed;
        }
        byte[] compressed = Base64.getDecoder().decode(packed.substring(MARK.length()));
        try (InputStream bytes = new GZIPInputStream(new ByteArrayInputStream(compressed))) {
            byte[] plain = ByteStreams.limit(bytes, MAX_UNPACKED_BYTES + 1L).readAllBytes();
            if (plain.length > MAX_UNPACKED_BYTES) {
                throw new IllegalArgumentException("a part of the snapshot is larger than " + MAX_UNPACKED_BYTES);
            }
            return new String(plain, StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new IllegalArgumentException("a part of the snapshot is damaged", e);
        }
    }

    /** Compresses a text. */
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
