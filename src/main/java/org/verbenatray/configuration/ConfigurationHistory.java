package org.verbenatray.configuration;

import java.time.Instant;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.stream.Collectors;
import org.verbenatray.log.Verdict.Rejection;

/** Formats the history of change sets for the monitor. */
public final class ConfigurationHistory {
    /** Prevents instances. */
    private ConfigurationHistory() {}

    /** Returns one line for each entry, in the order of offsets. */
    public static List<Line> lines(List<HistoryEntry> entries) {
        return entries.stream().map(ConfigurationHistory::line).toList();
    }

    /** Returns the line of one entry. */
    private static Line line(HistoryEntry entry) {
        return new Line(
                entry.offset(),
                Instant.ofEpochMilli(entry.atMillis()).toString(),
                entry.author(),
                files(entry),
                entry.rejection()
                        .map(rejection -> "rejected-" + lower(rejection.kind()))
                        .orElse("accepted"),
                entry.rejection().map(Rejection::detail),
                entry.hash());
    }

    /** Returns the files of an entry with their edits. */
    private static String files(HistoryEntry entry) {
        String named = entry.files().stream()
                .map(file -> file.name() + ":" + lower(file.kind()))
                .collect(Collectors.joining(","));
        int more = entry.fileCount() - entry.files().size();
        return more > 0 ? named + ",and-" + more + "-more" : named;
    }

    /** Returns the name of a constant in lower case. */
    private static String lower(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT);
    }

    /**
     * One line of the history.
     *
     * @param offset the offset of the record
     * @param time the author's wall clock in ISO 8601
     * @param author the author
     * @param files the files, each with what was done to it
     * @param verdict {@code accepted}, or {@code rejected-} with the kind
     * @param reason why it was rejected
     * @param hash the chained hash of the state in force afterwards
     */
    public record Line(
            long offset,
            String time,
            String author,
            String files,
            String verdict,
            Optional<String> reason,
            String hash) {
        /** Returns the line as key=value pairs. */
        public String text() {
            return "offset=" + offset + " time=" + time + " author=" + ConfigurationProblem.quoted(author) + " files="
                    + files + " verdict=" + verdict + " hash=" + hash
                    + reason.map(why -> " reason=" + quotedWhole(why)).orElse("");
        }

        /** Returns a text in quotation marks without control characters. */
        private static String quotedWhole(String text) {
            return "\"" + text.replaceAll("\\p{Cntrl}", " ").replace('"', '\'') + "\"";
        }
    }
}
