package org.verbenatray.configuration;

import java.util.List;
import java.util.SortedMap;

/**
 * The accepted files and their history at one time; immutable.
 *
 * @param offset the offset of the last accepted change, -1 for none
 * @param hash the hash chained over all accepted changes
 * @param files the files in force by name
 * @param history the remembered changes in the order of their offsets
 */
public record ConfigurationView(
        long offset, String hash, SortedMap<String, FileInForce> files, List<HistoryEntry> history) {
    /**
     * A file in force.
     *
     * @param content the content
     * @param offset the offset of its last change
     * @param author the author of its last change
     */
    public record FileInForce(String content, long offset, String author) {}
}
