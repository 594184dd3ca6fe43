package org.verbenatray.framing;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.testng.Assert;

/**
 * Random sound responses, received in random parts, against what they were made from; and the same with one byte that
 * the grammar excludes.
 */
public final class ResponseTrackerPropertiesTest {
    private static final String FOLLOWING_BYTES = "HTTP/1.1 200 OK\r\n";

    private static final String BYTES_OUTSIDE_THE_GRAMMAR = "\0\u0001\b\u000b\r\n\u001f\u007f";

    @Property(tries = 2000, seed = "1")
    void aSoundResponseEndsAtItsLastByteHoweverItArrives(@ForAll long seed) throws Exception {
        Random random = new Random(seed);
        Sample sample = Sample.draw(random);
        byte[] bytes = bytes(sample.interim() + sample.head() + sample.body() + FOLLOWING_BYTES);
        Received received = receive(bytes, random);
        Assert.assertEquals(received.head(), sample.head());
        Assert.assertEquals(received.body(), sample.body());
        Assert.assertTrue(received.complete());
    }

    @Property(tries = 2000, seed = "2")
    void aResponseThatIsCutIsNotComplete(@ForAll long seed) throws Exception {
        Random random = new Random(seed);
        Sample sample = Sample.draw(random);
        String whole = sample.interim() + sample.head() + sample.body();
        Received received = receive(bytes(whole.substring(0, random.nextInt(whole.length()))), random);
        Assert.assertFalse(received.complete());
    }

    @Property(tries = 2000, seed = "3")
    void aHeadWithAByteOutsideTheGrammarIsMalformed(@ForAll long seed) throws Exception {
        Random random = new Random(seed);
        Sample sample = Sample.draw(random);
        StringBuilder head = new StringBuilder(sample.head());
        char excluded = BYTES_OUTSIDE_THE_GRAMMAR.charAt(random.nextInt(BYTES_OUTSIDE_THE_GRAMMAR.length()));
        int place = random.nextInt(sample.head().length() - 3);
        boolean isLineEnd = head.charAt(place) == '\r' || head.charAt(place) == '\n';
        head.insert(isLineEnd ? place - 1 : place, excluded);
        Assert.assertThrows(
                MalformedMessageException.class, () -> receive(bytes(head + sample.body() + "\r\n\r\n"), random));
    }

    /** Passes bytes to a tracker in random parts. */
    private static Received receive(byte[] bytes, Random random) throws MalformedMessageException {
        ResponseTracker tracker = ResponseTracker.ofRequest("GET");
        String head = "";
        StringBuilder body = new StringBuilder();
        int from = 0;
        while (from < bytes.length && !tracker.isComplete(true)) {
            int length = Math.min(bytes.length - from, 1 + random.nextInt(random.nextBoolean() ? 3 : 200));
            ByteBuffer part = ByteBuffer.wrap(bytes, from, length);
            if (tracker.framing().isEmpty()) {
                head = tracker.takeHead(part)
                        .map(ResponseTrackerPropertiesTest::text)
                        .orElse("");
            }
            if (tracker.framing().isPresent()) {
                int bodyStart = part.position();
                tracker.takeBody(part);
                body.append(text(bytes), bodyStart, part.position());
            }
            from += length;
        }
        return new Received(head, body.toString(), tracker.isComplete(true));
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    private static String text(byte[] bytes) {
        return new String(bytes, StandardCharsets.ISO_8859_1);
    }

    /**
     * What a tracker has made of bytes.
     *
     * @param head the bytes of the final head
     * @param body the bytes of the body with its framing
     * @param complete whether the response is complete
     */
    private record Received(String head, String body, boolean complete) {}

    /**
     * A sound response with a length or chunks.
     *
     * @param interim the interim responses before it
     * @param head its head
     * @param body its body with its framing
     */
    private record Sample(String interim, String head, String body) {
        private static final List<String> FIELDS = List.of(
                "Request-Id: 9c41\r\n",
                "X-Empty:\r\n",
                "x-high: \u00e9\u00ff\t!\r\n",
                "!#$%&'*+.^_`|~-9: ()<>@,;:\\\"/[]?={}\r\n",
                "Content-Lengths: none\r\n",
                "Connection: close, x\r\n",
                "Date: \t now  \r\n");

        private static final List<String> EXTENSIONS = List.of("", ";a", ";a=b;c", " ; a = \"b;\\\" \"");

        static Sample draw(Random random) {
            StringBuilder interim = new StringBuilder();
            for (int count = random.nextInt(3); count > 0; count--) {
                interim.append(random.nextBoolean() ? "HTTP/1.1 100 \r\n" : "HTTP/1.1 103 Early\r\n");
                interim.append(fields(random)).append("\r\n");
            }
            String content = "\r\n0HTTP/1.1 ".repeat(random.nextInt(20));
            boolean chunked = random.nextBoolean();
            String framing = chunked
                    ? "transfer-encoding:CHUNKED\r\n"
                    : "Content-Length: " + "0".repeat(random.nextInt(3)) + content.length() + " \r\n";
            String head = "HTTP/1.1 " + (200 + random.nextInt(4)) + " Any Reason\r\n" + fields(random) + framing
                    + fields(random) + "\r\n";
            return new Sample(interim.toString(), head, chunked ? chunks(content, random) : content);
        }

        private static String fields(Random random) {
            List<String> drawn = new ArrayList<>();
            for (int count = random.nextInt(4); count > 0; count--) {
                drawn.add(FIELDS.get(random.nextInt(FIELDS.size())));
            }
            return String.join("", drawn);
        }

        private static String chunks(String content, Random random) {
            StringBuilder chunks = new StringBuilder();
            int from = 0;
            while (from < content.length()) {
                int length = Math.min(content.length() - from, 1 + random.nextInt(40));
                String size = Integer.toHexString(length);
                chunks.append(random.nextBoolean() ? size : "0" + size.toUpperCase(Locale.ROOT));
                chunks.append(EXTENSIONS.get(random.nextInt(EXTENSIONS.size()))).append("\r\n");
                chunks.append(content, from, from + length).append("\r\n");
                from += length;
            }
            return chunks + "00\r\n" + fields(random) + "\r\n";
        }
    }
}
