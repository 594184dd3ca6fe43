package org.verbenatray.platform;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.verbenatray.platform.ScriptedServer.Request;
import org.verbenatray.platform.ScriptedServer.Script;

/** The kinds of answers without end, as scripts that write at full speed until the peer closes the connection. */
enum EndlessAnswer {
    STATUS_LINE("HTTP/1.1 200 O", "k"),
    HEADER_LINE("HTTP/1.1 200 OK\r\nX-Long: ", "v"),
    HEADERS("HTTP/1.1 200 OK\r\n", "X: v\r\n"),
    INFORMATIONAL("", "HTTP/1.1 100 Continue\r\n\r\n"),
    LENGTH_BODY("HTTP/1.1 200 OK\r\n%sContent-Length: 1000000000000\r\n\r\n", "b"),
    BODY_WITHOUT_LENGTH("HTTP/1.1 200 OK\r\n%s\r\n", "b"),
    CHUNKED_BODY("HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n", "8\r\n01234567\r\n"),
    REFUSAL("HTTP/1.1 500 Error\r\n%s\r\n", "short line\n"),
    CHUNK_SIZE("HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n", "0"),
    CHUNK_EXTENSION("HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n1;a=", "e"),
    TRAILER("HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n", "T: v\r\n"),
    EVENT("HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\n\r\nid: 1\ndata: ", "d"),
    TINY_EVENTS("HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\n\r\n", "\n\n");

    /** The bytes after which a server stops to write, far above the sum of a limit and the socket buffers. */
    static final long MAX_WRITTEN_BYTES = 192L * 1024 * 1024;

    private static final int BLOCK_BYTES = 64 * 1024;

    private final String start;

    private final byte[] block;

    EndlessAnswer(String start, String unit) {
        this.start = start;
        this.block = unit.repeat(BLOCK_BYTES / unit.length()).getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Returns a script of this answer that counts the bytes written and the connections that its peer closed. */
    EndlessScript script() {
        return new EndlessScript(this);
    }

    private byte[] startOf(Request request) {
        String own = "Request-Id: " + request.header("request-id") + "\r\nServer-Stamp: mark\r\n";
        return start.replace("%s", own).getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Writes one kind of answer to each request until the peer closes the connection. */
    static final class EndlessScript implements Script {
        private final EndlessAnswer answer;

        private final AtomicLong writtenBytes = new AtomicLong();

        private final AtomicInteger started = new AtomicInteger();

        private final AtomicInteger closedByPeer = new AtomicInteger();

        private EndlessScript(EndlessAnswer answer) {
            this.answer = answer;
        }

        @Override
        public void serve(Request request, java.net.Socket connection, OutputStream out) throws IOException {
            started.incrementAndGet();
            try {
                out.write(answer.startOf(request));
                for (long count = 0; count < MAX_WRITTEN_BYTES; count += answer.block.length) {
                    out.write(answer.block);
                    writtenBytes.addAndGet(answer.block.length);
                }
            } catch (IOException e) {
                closedByPeer.incrementAndGet();
                throw e;
            }
        }

        /** Returns the number of answers started. */
        int started() {
            return started.get();
        }

        /** Returns the number of answers that ended because the peer closed the connection. */
        int closedByPeer() {
            return closedByPeer.get();
        }

        /** Returns the number of bytes written over all connections. */
        long writtenBytes() {
            return writtenBytes.get();
        }
    }
}
