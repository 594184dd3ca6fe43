package org.verbenatray.configuration;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SortedSet;
import java.util.stream.Collectors;
import org.verbenatray.configuration.ConfigurationView.ActiveFile;
import org.verbenatray.configuration.RecentChanges.AcceptedChange;
import org.verbenatray.configuration.RecentChanges.ConflictingChange;
import org.verbenatray.configuration.RecentChanges.EvictedChange;
import org.verbenatray.log.RecordBody.ConfigurationChange;
import org.verbenatray.log.RecordBody.FileChange;
import org.verbenatray.log.Verdict.Kind;
import org.verbenatray.log.Verdict.Rejection;

/**
 * The rules of format version 1 for accepting a change set.
 *
 * <p>Each check returns the rejection, or empty when the rule is kept. Rejections are stored in the history with their
 * detail texts, and the history is part of the exported state.
 */
final class ChangeSetRules {
    private static final String RETRY_ADVICE = "; compare with what is in force, then publish again";

    private static final int MAX_NAMED_PROBLEMS = 3;

    private ChangeSetRules() {}

    /** Checks the author, the number of files and the file names of a change set. */
    static Optional<Rejection> checkForm(String author, ConfigurationChange change) {
        if (author == null || author.isBlank() || author.length() > ConfigurationLimits.MAX_AUTHOR_CHARS) {
            return invalid("no author or one of more than " + ConfigurationLimits.MAX_AUTHOR_CHARS
                    + " characters; publish under a short name");
        }
        if (change.files() == null || change.files().isEmpty()) {
            return invalid("the change set names no file; publish a folder that differs");
        }
        if (change.files().size() > ConfigurationLimits.MAX_FILES) {
            return invalid("more than " + ConfigurationLimits.MAX_FILES + " files in a change set; publish fewer");
        }
        Set<String> names = new HashSet<>();
        for (FileChange file : change.files()) {
            if (file == null || file.name() == null) {
                return invalid("the change set has a file without a name; publish with the publish command");
            }
            if (!ConfigurationLimits.FILE_NAME_PATTERN.matcher(file.name()).matches()) {
                String found = ConfigurationProblem.quoted(file.name());
                return invalid("file name " + found + "; use " + ConfigurationLimits.ALLOWED_FILE_NAME);
            }
            if (!names.add(file.name())) {
                return invalid("the change set names " + file.name() + " twice; name each file once");
            }
        }
        return Optional.empty();
    }

    /** Checks that no file of a change set was changed by a record that its author had not seen. */
    static Optional<Rejection> checkFilesNotStale(
            ConfigurationChange change, long follows, Map<String, ActiveFile> activeFiles, RecentChanges recent) {
        Optional<EvictedChange> evicted = recent.evictedAfter(follows);
        if (evicted.isPresent()) {
            String detail =
                    "the change set follows offset " + follows + ", which is too old to be compared" + RETRY_ADVICE;
            return stale(detail, evicted.get().author(), evicted.get().offset());
        }
        for (FileChange file : change.files()) {
            ActiveFile current = activeFiles.get(file.name());
            Optional<Rejection> rejection =
                    current == null ? checkAbsentFile(file, follows, recent) : checkActiveFile(file, current);
            if (rejection.isPresent()) {
                return rejection;
            }
        }
        return Optional.empty();
    }

    /** Checks that no entry of a change set was changed through another file after the offset it follows. */
    static Optional<Rejection> checkEntriesNotStale(AcceptedChange change, long follows, RecentChanges recent) {
        for (Map.Entry<String, SortedSet<String>> file : change.entriesByFile().entrySet()) {
            Optional<ConflictingChange> conflict = recent.firstConflictAfter(follows, file.getKey(), file.getValue());
            if (conflict.isPresent()) {
                String detail = file.getKey() + " touches an entry that "
                        + conflict.get().author() + " changed in "
                        + conflict.get().file() + " at offset "
                        + conflict.get().offset() + RETRY_ADVICE;
                return stale(detail, conflict.get().author(), conflict.get().offset());
            }
        }
        return Optional.empty();
    }

    /** Checks the number and the total size of all files. */
    static Optional<Rejection> checkTotalSize(Map<String, ActiveFile> files) {
        if (files.size() > ConfigurationLimits.MAX_FILES) {
            return invalid("more than " + ConfigurationLimits.MAX_FILES + " files in all; join some");
        }
        long chars = files.values().stream()
                .mapToLong(file -> file.content().length())
                .sum();
        if (chars > ConfigurationLimits.MAX_TOTAL_CHARS) {
            return invalid(
                    "more than " + ConfigurationLimits.MAX_TOTAL_CHARS + " characters in all files; shorten some");
        }
        return Optional.empty();
    }

    /** Rejects a change set whose merged result has problems. */
    static Optional<Rejection> checkMergeProblems(List<ConfigurationProblem> problems) {
        if (problems.isEmpty()) {
            return Optional.empty();
        }
        String named = problems.stream()
                .limit(MAX_NAMED_PROBLEMS)
                .map(ConfigurationProblem::message)
                .collect(Collectors.joining("; "));
        return invalid("the merged result has " + problems.size() + " problems: " + named);
    }

    private static Optional<Rejection> checkActiveFile(FileChange file, ActiveFile current) {
        if (current.offset() <= file.seenOffset()) {
            return Optional.empty();
        }
        String detail = file.name() + " was changed by " + current.author() + " at offset " + current.offset()
                + " after the author saw offset " + file.seenOffset() + RETRY_ADVICE;
        return stale(detail, current.author(), current.offset());
    }

    private static Optional<Rejection> checkAbsentFile(FileChange file, long follows, RecentChanges recent) {
        Optional<AcceptedChange> removal = recent.latestChangeOf(file.name())
                .filter(change -> change.offset() > Math.max(follows, file.seenOffset()));
        if (removal.isPresent()) {
            String detail = file.name() + " was removed by " + removal.get().author() + " at offset "
                    + removal.get().offset() + RETRY_ADVICE;
            return stale(detail, removal.get().author(), removal.get().offset());
        }
        if (file.content().isEmpty()) {
            return invalid("the change set removes " + file.name() + ", which is not in force; leave it out");
        }
        return Optional.empty();
    }

    private static Optional<Rejection> stale(String detail, String rivalAuthor, long rivalOffset) {
        return Optional.of(Rejection.createWithRival(Kind.STALE, detail, rivalAuthor, rivalOffset));
    }

    private static Optional<Rejection> invalid(String detail) {
        return Optional.of(Rejection.create(Kind.INVALID, detail));
    }
}
