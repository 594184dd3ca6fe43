package org.verbenatray.configuration;

import java.util.List;
import java.util.SortedMap;

/**
 * A consistent view of the active files and the history of change sets; immutable.
 *
 * @param offset the offset of the last accepted change set, -1 for none
 * @param hash the hash chained over all accepted change sets, in hexadecimal; empty before the first
 * @param files the active files by name
 * @param history the latest accepted and rejected change sets, ordered by offset
 */
public record ConfigurationView(
        long offset, String hash, SortedMap<String, ActiveFile> files, List<HistoryEntry> history) {
    /**
     * A file of the active configuration.
     *
     * @param content the content
     * @param offset the offset of its last change
     * @param author the author of its last change
     */
    public record ActiveFile(String content, long offset, String author) {}
}
