package org.verbenatray.configuration;

import java.time.Instant;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.stream.Collectors;
import org.verbenatray.log.Verdict.Rejection;

/** Formats the history of change sets for operators. */
public final class HistoryFormatter {
    private HistoryFormatter() {}

    /** Returns one line for each entry, in the given order. */
    public static List<Line> lines(List<HistoryEntry> entries) {
        return entries.stream().map(HistoryFormatter::line).toList();
    }

    private static Line line(HistoryEntry entry) {
        return new Line(
                entry.offset(),
                Instant.ofEpochMilli(entry.atMillis()).toString(),
                entry.author(),
                files(entry),
                entry.rejection()
                        .map(rejection -> "rejected-" + lowerCaseName(rejection.kind()))
                        .orElse("accepted"),
                entry.rejection().map(Rejection::detail),
                entry.hash());
    }

    private static String files(HistoryEntry entry) {
        String named = entry.files().stream()
                .map(file -> file.name() + ":" + lowerCaseName(file.kind()))
                .collect(Collectors.joining(","));
        int unnamed = entry.fileCount() - entry.files().size();
        return unnamed > 0 ? named + ",and-" + unnamed + "-more" : named;
    }

    private static String lowerCaseName(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT);
    }

    /**
     * One line of the history.
     *
     * @param offset the offset of the record
     * @param time the time by the author's wall clock, in ISO 8601
     * @param author the author
     * @param files the changed files as {@code name:edit}, separated by commas
     * @param verdict {@code accepted}, or {@code rejected-} followed by the kind of rejection
     * @param reason the reason for the rejection, empty if accepted
     * @param hash the chained hash of the state that was active afterwards
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
                    + reason.map(why -> " reason=" + quotedUncut(why)).orElse("");
        }

        /** Returns a text of any length in quotation marks, with control characters and quotation marks replaced. */
        private static String quotedUncut(String text) {
            return "\"" + text.replaceAll("\\p{Cntrl}", " ").replace('"', '\'') + "\"";
        }
    }
}
