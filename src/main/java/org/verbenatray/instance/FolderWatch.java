package org.verbenatray.instance;

import java.util.List;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import org.verbenatray.configuration.ConfigurationProblem;

/** Tells when the content of a watched folder is new and has settled, so that no half-saved file is published. */
public final class FolderWatch {
    /** What the last read gave, empty before the first. */
    private Optional<Reading> previous = Optional.empty();

    /** What was reported last, empty before the first report. */
    private Optional<Reading> reported = Optional.empty();

    /** Creates a watch. */
    private FolderWatch() {}

    /** Returns a watch that has seen nothing. */
    public static FolderWatch create() {
        return new FolderWatch();
    }

    /** Takes one read of the folder and returns whether it equals the one before and was not reported yet. */
    public boolean hasSettled(Reading reading) {
        boolean stable = previous.filter(reading::equals).isPresent();
        previous = Optional.of(reading);
        if (!stable || reported.filter(reading::equals).isPresent()) {
            return false;
        }
        reported = previous;
        return true;
    }

    /** Has the present content reported once more, because handling it failed for another reason. */
    public void again() {
        reported = Optional.empty();
    }

    /**
     * One read of a folder.
     *
     * @param files the text by file name, empty when the folder cannot be read
     * @param problems why it cannot be read
     */
    public record Reading(SortedMap<String, String> files, List<ConfigurationProblem> problems) {
        /** Returns a read that succeeded. */
        public static Reading of(SortedMap<String, String> files) {
            return new Reading(files, List.of());
        }

        /** Returns a read that failed. */
        public static Reading failed(List<ConfigurationProblem> problems) {
            return new Reading(new TreeMap<>(), problems);
        }
    }
}
