package org.verbenatray.instance;

import java.util.List;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import org.verbenatray.configuration.ConfigurationProblem;

/**
 * Detects that a polled folder has new content that two reads in a row found equal, so that no half-saved file is
 * published. Not thread-safe.
 */
public final class FolderWatch {
    /** The last read, empty before the first. */
    private Optional<Reading> previous = Optional.empty();

    /** The content reported last, empty when the next stable content is to be reported. */
    private Optional<Reading> reported = Optional.empty();

    private FolderWatch() {}

    /** Creates a watch without any read. */
    public static FolderWatch create() {
        return new FolderWatch();
    }

    /** Records a read of the folder and returns whether it equals the previous one and was not reported yet. */
    public boolean recordAndCheckStable(Reading reading) {
        boolean stable = previous.filter(reading::equals).isPresent();
        previous = Optional.of(reading);
        if (!stable || reported.filter(reading::equals).isPresent()) {
            return false;
        }
        reported = previous;
        return true;
    }

    /** Clears the reported content, so that it is reported once more after its handling failed. */
    public void clearReported() {
        reported = Optional.empty();
    }

    /**
     * One read of a folder.
     *
     * @param files the text by file name, empty when the folder cannot be read
     * @param problems the reasons why it cannot be read, empty when it can
     */
    public record Reading(SortedMap<String, String> files, List<ConfigurationProblem> problems) {
        /** Returns a successful read. */
        public static Reading of(SortedMap<String, String> files) {
            return new Reading(files, List.of());
        }

        /** Returns a failed read. */
        public static Reading failed(List<ConfigurationProblem> problems) {
            return new Reading(new TreeMap<>(), problems);
        }
    }
}
