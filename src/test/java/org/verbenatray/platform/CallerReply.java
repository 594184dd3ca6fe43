package org.verbenatray.platform;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * What a caller has read of one response.
 *
 * @param status the status, 0 if the head is not complete
 * @param headers the values by lower-case name
 * @param body the part of the body that was read, without the framing of chunks
 * @param whole whether the response is complete
 */
record CallerReply(int status, Map<String, String> headers, String body, boolean whole) {
    /** The status of a response that ends with its head. */
    private static final int NO_CONTENT = 204;

    /** Reads a response to its end or to the end of the connection. */
    static CallerReply read(InputStream in) throws IOException {
        Map<String, String> headers = new TreeMap<>();
        String statusLine = line(in);
        if (statusLine == null) {
            return new CallerReply(0, headers, "", false);
        }
        for (String header = line(in); header == null || !header.isEmpty(); header = line(in)) {
            if (header == null) {
                return new CallerReply(0, headers, "", false);
            }
            int colon = header.indexOf(':');
            headers.put(
                    header.substring(0, colon).toLowerCase(Locale.ROOT),
                    header.substring(colon + 1).trim());
        }
        int status = Integer.parseInt(statusLine.split(" ")[1]);
        if (status == NO_CONTENT) {
            return new CallerReply(status, headers, "", true);
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        boolean whole = headers.containsKey("content-length")
                ? readCounted(in, Integer.parseInt(headers.get("content-length")), body)
                : readChunks(in, body);
        return new CallerReply(status, headers, body.toString(StandardCharsets.ISO_8859_1), whole);
    }

    /** Returns whether the response says that the connection is closed after it. */
    boolean closesConnection() {
        return "close".equalsIgnoreCase(headers.get("connection"));
    }

    /** Returns whether the status says that the request has not run. */
    boolean saysNotRun() {
        return status == 503 || status == 429 || status == 408 || status == 421;
    }

    private static boolean readChunks(InputStream in, ByteArrayOutputStream body) throws IOException {
        while (true) {
            String size = line(in);
            if (size == null || size.isEmpty()) {
                return false;
            }
            int count = Integer.parseInt(size, 16);
            if (!readCounted(in, count, body) || line(in) == null) {
                return false;
            }
            if (count == 0) {
                return true;
            }
        }
    }

    private static boolean readCounted(InputStream in, int count, ByteArrayOutputStream body) throws IOException {
        byte[] bytes = in.readNBytes(count);
        body.writeBytes(bytes);
        return bytes.length == count;
    }

    /** Returns the next line; null if the connection ends before the end of the line. */
    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        for (int next = in.read(); next >= 0; next = in.read()) {
            if (next == '\n') {
                return bytes.toString(StandardCharsets.ISO_8859_1).replace("\r", "");
            }
            bytes.write(next);
        }
        return null;
    }
}
