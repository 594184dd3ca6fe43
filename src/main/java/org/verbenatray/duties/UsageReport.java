package org.verbenatray.duties;

import java.net.URLDecoder;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * The final counts of a window, which are reported as they are whoever reports them.
 *
 * @param window the number of the window
 * @param counts the requests by customer, in the order of their names
 */
public record UsageReport(long window, SortedMap<String, Integer> counts) {
    /** The first word of the text of a report. */
    private static final String KIND = "usage";

    /** Returns the report as one line of text. */
    public String text() {
        String list = counts.entrySet().stream()
                .map(count -> URLEncoder.encode(count.getKey(), StandardCharsets.UTF_8) + "=" + count.getValue())
                .collect(Collectors.joining(","));
        return KIND + " " + window + " " + list;
    }

    /** Returns the report in a line of text; empty if the line holds something else. */
    public static Optional<UsageReport> parse(String text) {
        String[] words = text.split(" ", 3);
        if (words.length < 3 || !words[0].equals(KIND)) {
            return Optional.empty();
        }
        try {
            SortedMap<String, Integer> counts = new TreeMap<>();
            for (String count : words[2].isEmpty() ? new String[0] : words[2].split(",")) {
                int separator = count.lastIndexOf('=');
                String name = URLDecoder.decode(count.substring(0, separator), StandardCharsets.UTF_8);
                counts.put(name, Integer.valueOf(count.substring(separator + 1)));
            }
            return Optional.of(new UsageReport(Long.parseLong(words[1]), counts));
        } catch (IllegalArgumentException | IndexOutOfBoundsException e) {
            // A line that a later version writes in another way.
            return Optional.empty();
        }
    }
}
