package org.verbenatray.capacity;

import java.net.URLDecoder;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * The number of servers that a service needs, as a holder of the duty states it for those after it.
 *
 * @param service the name of the service
 * @param servers the number of servers
 */
record ServerNeed(String service, int servers) {
    /** The first word of the text of a need. */
    private static final String KIND = "servers";

    /** Returns the need as one line of text. */
    String text() {
        return KIND + " " + URLEncoder.encode(service, StandardCharsets.UTF_8) + " " + servers;
    }

    /** Returns the need in a line of text; empty if the line holds something else. */
    static Optional<ServerNeed> parse(String text) {
        String[] words = text.split(" ", 3);
        if (words.length < 3 || !words[0].equals(KIND) || !words[2].matches("[0-9]{1,9}")) {
            return Optional.empty();
        }
        return Optional.of(
                new ServerNeed(URLDecoder.decode(words[1], StandardCharsets.UTF_8), Integer.parseInt(words[2])));
    }
}
