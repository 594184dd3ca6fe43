package org.verbenatray.configuration;

import java.util.List;
import java.util.Optional;
import org.verbenatray.log.Verdict.Rejection;

/**
 * A change set that was accepted or rejected.
 *
 * @param offset the offset of its record
 * @param author the author
 * @param atMillis the time by the author's wall clock, in milliseconds since the epoch
 * @param fileCount the number of files in the change set
 * @param files the edits of files; only the first ones if there are many
 * @param rejection the reason for the rejection, empty if it was accepted
 * @param hash the chained hash of the state that was active afterwards
 */
public record HistoryEntry(
        long offset,
        String author,
        long atMillis,
        int fileCount,
        List<FileEdit> files,
        Optional<Rejection> rejection,
        String hash) {
    /**
     * The edit of one file.
     *
     * @param name the file name
     * @param kind the kind of edit
     */
    public record FileEdit(String name, EditKind kind) {}

    /** The kinds of edit. */
    public enum EditKind {
        /** The file is new. */
        ADDED,
        /** The file has new content. */
        EDITED,
        /** The file is removed. */
        REMOVED
    }
}
