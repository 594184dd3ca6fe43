package org.verbenatray.platform;

import java.nio.charset.StandardCharsets;
import org.verbenatray.platform.ScriptedServer.Request;
import org.verbenatray.platform.ScriptedServer.Script;

/** The kinds of answers that break the grammar of HTTP, each as the bytes that a server in trouble writes. */
enum BrokenAnswer {
    STATUS_000("HTTP/1.1 000 Unknown\r\n%sContent-Length: 5\r\n\r\nwhole"),
    STATUS_099("HTTP/1.1 099 Low\r\n%sContent-Length: 5\r\n\r\nwhole"),
    STATUS_600("HTTP/1.1 600 High\r\n%sContent-Length: 5\r\n\r\nwhole"),
    STATUS_TWO_DIGITS("HTTP/1.1 20 OK\r\n%sContent-Length: 5\r\n\r\nwhole"),
    STATUS_FOUR_DIGITS("HTTP/1.1 2000 OK\r\n%sContent-Length: 5\r\n\r\nwhole"),
    STATUS_LETTER("HTTP/1.1 2O0 OK\r\n%sContent-Length: 5\r\n\r\nwhole"),
    STATUS_SIGN("HTTP/1.1 +20 OK\r\n%sContent-Length: 5\r\n\r\nwhole"),
    STATUS_LAST("HTTP/1.1 200\r\n%sContent-Length: 5\r\n\r\nwhole"),
    STATUS_MISSING("HTTP/1.1 OK\r\n%sContent-Length: 5\r\n\r\nwhole"),
    STATUS_AFTER_TWO_BLANKS("HTTP/1.1  200 OK\r\n%sContent-Length: 5\r\n\r\nwhole"),
    STATUS_AFTER_TAB("HTTP/1.1\t200 OK\r\n%sContent-Length: 5\r\n\r\nwhole"),
    SWITCHED_PROTOCOL("HTTP/1.1 101 Switching\r\n%sContent-Length: 5\r\n\r\nwhole"),
    OTHER_PROTOCOL("HTTQ/1.1 200 OK\r\n%sContent-Length: 5\r\n\r\nwhole"),
    OTHER_VERSION("HTTP/2.0 200 OK\r\n%sContent-Length: 5\r\n\r\nwhole"),
    VERSION_MISSING("200 OK\r\n%sContent-Length: 5\r\n\r\nwhole"),
    CONTROL_IN_REASON("HTTP/1.1 200 O\0K\r\n%sContent-Length: 5\r\n\r\nwhole"),
    BLANK_LINE_FIRST("\r\nHTTP/1.1 200 OK\r\n%sContent-Length: 5\r\n\r\nwhole"),
    LINE_FEEDS_ALONE("HTTP/1.1 200 OK\n%sContent-Length: 5\n\nwhole"),
    LENGTH_PLUS("HTTP/1.1 200 OK\r\n%sContent-Length: +5\r\n\r\nwhole"),
    LENGTH_NEGATIVE("HTTP/1.1 200 OK\r\n%sContent-Length: -5\r\n\r\nwhole"),
    LENGTH_HEXADECIMAL("HTTP/1.1 200 OK\r\n%sContent-Length: 0x5\r\n\r\nwhole"),
    LENGTH_LETTER("HTTP/1.1 200 OK\r\n%sContent-Length: 5a\r\n\r\nwhole"),
    LENGTH_FRACTION("HTTP/1.1 200 OK\r\n%sContent-Length: 5.0\r\n\r\nwhole"),
    LENGTH_BLANK_INSIDE("HTTP/1.1 200 OK\r\n%sContent-Length: 5 5\r\n\r\nwhole"),
    LENGTH_LIST("HTTP/1.1 200 OK\r\n%sContent-Length: 5, 4\r\n\r\nwhole"),
    LENGTH_EMPTY("HTTP/1.1 200 OK\r\n%sContent-Length:\r\n\r\nwhole"),
    LENGTH_TWENTY_DIGITS("HTTP/1.1 200 OK\r\n%sContent-Length: 10000000000000000005\r\n\r\nwhole"),
    LENGTHS_SMALLER_FIRST("HTTP/1.1 200 OK\r\n%sContent-Length: 2\r\nContent-Length: 5\r\n\r\nwhole"),
    LENGTHS_LARGER_FIRST("HTTP/1.1 200 OK\r\n%sContent-Length: 5\r\nContent-Length: 2\r\n\r\nwhole"),
    LENGTH_TWICE("HTTP/1.1 200 OK\r\n%sContent-Length: 5\r\nContent-Length: 5\r\n\r\nwhole"),
    LENGTH_BLANK_BEFORE_COLON("HTTP/1.1 200 OK\r\n%sContent-Length : 5\r\n\r\nwhole"),
    LENGTH_TAB_BEFORE_COLON("HTTP/1.1 200 OK\r\n%sContent-Length\t: 5\r\n\r\nwhole"),
    LENGTH_CONTROL_BEFORE_COLON("HTTP/1.1 200 OK\r\n%sContent-Length\u0001: 5\r\n\r\nwhole"),
    LENGTH_WITHOUT_COLON("HTTP/1.1 200 OK\r\n%sContent-Length 5\r\n\r\nwhole"),
    LENGTH_FOLDED_LINE("HTTP/1.1 200 OK\r\n%s Content-Length: 2\r\n\r\nwhole"),
    LENGTH_AFTER_TAB("HTTP/1.1 200 OK\r\n%s\tContent-Length: 2\r\n\r\nwhole"),
    LENGTH_FOLDED_VALUE("HTTP/1.1 200 OK\r\n%sContent-Length:\r\n 5\r\n\r\nwhole"),
    FOLDED_LINE("HTTP/1.1 200 OK\r\n%sX-Note: a\r\n b\r\nContent-Length: 5\r\n\r\nwhole"),
    FIRST_LINE_FOLDED("HTTP/1.1 200 OK\r\n X-Note: a\r\n%sContent-Length: 5\r\n\r\nwhole"),
    BLANK_IN_NAME("HTTP/1.1 200 OK\r\n%sX Note: a\r\nContent-Length: 5\r\n\r\nwhole"),
    TAB_IN_NAME("HTTP/1.1 200 OK\r\n%sX\tNote: a\r\nContent-Length: 5\r\n\r\nwhole"),
    CONTROL_IN_NAME("HTTP/1.1 200 OK\r\n%sX\u0002Note: a\r\nContent-Length: 5\r\n\r\nwhole"),
    NUL_IN_NAME("HTTP/1.1 200 OK\r\n%sX\0Note: a\r\nContent-Length: 5\r\n\r\nwhole"),
    DELETE_IN_NAME("HTTP/1.1 200 OK\r\n%sX\u007fNote: a\r\nContent-Length: 5\r\n\r\nwhole"),
    BRACKET_IN_NAME("HTTP/1.1 200 OK\r\n%sX(Note): a\r\nContent-Length: 5\r\n\r\nwhole"),
    HIGH_BYTE_IN_NAME("HTTP/1.1 200 OK\r\n%sX\u00e9Note: a\r\nContent-Length: 5\r\n\r\nwhole"),
    NO_NAME("HTTP/1.1 200 OK\r\n%s: a\r\nContent-Length: 5\r\n\r\nwhole"),
    NO_COLON("HTTP/1.1 200 OK\r\n%sno field\r\nContent-Length: 5\r\n\r\nwhole"),
    WORD_WITHOUT_COLON("HTTP/1.1 200 OK\r\n%snofield\r\nContent-Length: 5\r\n\r\nwhole"),
    NUL_IN_VALUE("HTTP/1.1 200 OK\r\n%sX-Note: a\0b\r\nContent-Length: 5\r\n\r\nwhole"),
    CONTROL_IN_VALUE("HTTP/1.1 200 OK\r\n%sX-Note: a\u0003b\r\nContent-Length: 5\r\n\r\nwhole"),
    DELETE_IN_VALUE("HTTP/1.1 200 OK\r\n%sX-Note: a\u007fb\r\nContent-Length: 5\r\n\r\nwhole"),
    CARRIAGE_RETURN_IN_VALUE("HTTP/1.1 200 OK\r\n%sX-Note: a\rb\r\nContent-Length: 5\r\n\r\nwhole"),
    LINE_FEED_IN_VALUE("HTTP/1.1 200 OK\r\n%sX-Note: a\nContent-Length: 5\r\n\r\nwhole"),
    LENGTH_BEHIND_CARRIAGE_RETURN("HTTP/1.1 200 OK\r\n%sX-Note: a\rContent-Length: 5\r\n\r\nwhole"),
    CODING_UNKNOWN("HTTP/1.1 200 OK\r\n%sTransfer-Encoding: shuffled\r\n\r\nwhole"),
    CODING_IDENTITY("HTTP/1.1 200 OK\r\n%sTransfer-Encoding: identity\r\n\r\nwhole"),
    CODING_EMPTY("HTTP/1.1 200 OK\r\n%sTransfer-Encoding:\r\n\r\nwhole"),
    CODING_UNKNOWN_LAST("HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked, shuffled\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"),
    CODING_UNKNOWN_FIRST("HTTP/1.1 200 OK\r\n%sTransfer-Encoding: shuffled, chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"),
    CODING_TWICE("HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked, chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"),
    CODINGS_THAT_DIFFER("HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n"
            + "5\r\nwhole\r\n0\r\n\r\n"),
    CODING_BLANK_BEFORE_COLON("HTTP/1.1 200 OK\r\n%sTransfer-Encoding : chunked\r\nContent-Length: 5\r\n\r\nwhole"),
    CODING_BESIDE_LENGTH(
            "HTTP/1.1 200 OK\r\n%sContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n" + "5\r\nwhole\r\n0\r\n\r\n"),
    CODING_IN_FIRST_VERSION("HTTP/1.0 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"),
    CHUNK_LARGER_THAN_ITS_SIZE(chunked("2\r\nwhole\r\n0\r\n\r\n")),
    CHUNK_SMALLER_THAN_ITS_SIZE(chunked("6\r\nwhole\r\n0\r\n\r\n")),
    CHUNK_SIZE_BEFORE_A_WORD(chunked("5 no extension\r\nwhole\r\n0\r\n\r\n")),
    CHUNK_SIZE_BEFORE_A_LETTER(chunked("2z\r\nwhole\r\n0\r\n\r\n")),
    CHUNK_EXTENSION_WITHOUT_NAME(chunked("5;\r\nwhole\r\n0\r\n\r\n")),
    CHUNK_EXTENSION_WITH_CONTROL(chunked("5;a\u0001b\r\nwhole\r\n0\r\n\r\n")),
    CHUNK_EXTENSION_UNQUOTED(chunked("5;a=\"b\r\nwhole\r\n0\r\n\r\n")),
    CHUNK_SIZE_NEGATIVE(chunked("-5\r\nwhole\r\n0\r\n\r\n")),
    CHUNK_SIZE_PLUS(chunked("+5\r\nwhole\r\n0\r\n\r\n")),
    CHUNK_SIZE_HEXADECIMAL_MARK(chunked("0x5\r\nwhole\r\n0\r\n\r\n")),
    CHUNK_SIZE_AFTER_BLANK(chunked(" 5\r\nwhole\r\n0\r\n\r\n")),
    CHUNK_SIZE_TOO_LARGE(chunked("10000000000000005\r\nwhole\r\n0\r\n\r\n")),
    CHUNK_SIZE_EMPTY(chunked("\r\nwhole\r\n0\r\n\r\n")),
    CHUNK_SIZE_NO_NUMBER(chunked("whole\r\n0\r\n\r\n")),
    CHUNK_SIZE_LINE_FEED_ALONE(chunked("5\nwhole\r\n0\r\n\r\n")),
    CHUNK_SIZE_CARRIAGE_RETURN_ALONE(chunked("5\rwhole\r\n0\r\n\r\n")),
    CHUNK_END_LINE_FEED_ALONE(chunked("5\r\nwhole\n0\r\n\r\n")),
    TRAILER_WITHOUT_COLON(chunked("5\r\nwhole\r\n0\r\nno field\r\n\r\n")),
    TRAILER_FOLDED(chunked("5\r\nwhole\r\n0\r\nX-Note: a\r\n b\r\n\r\n")),
    TRAILER_CONTROL_IN_NAME(chunked("5\r\nwhole\r\n0\r\nX\u0001Note: a\r\n\r\n"));

    private final String text;

    BrokenAnswer(String text) {
        this.text = text;
    }

    /** Returns a script that sends this answer and then closes the connection, or keeps it open. */
    Script script(boolean closes) {
        return (request, connection, out) -> {
            out.write(bytes(text, request));
            out.flush();
            if (closes) {
                connection.close();
            }
        };
    }

    /** Returns the bytes of an answer to a request, whose id it bears in the place that is marked. */
    static byte[] bytes(String text, Request request) {
        String ownFields = "Request-Id: " + request.header("request-id") + "\r\nServer-Stamp: mark\r\n";
        return text.replace("%s", ownFields).getBytes(StandardCharsets.ISO_8859_1);
    }

    private static String chunked(String body) {
        return "HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n" + body;
    }
}
