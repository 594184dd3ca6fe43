package org.verbenatray.configuration;

import java.util.Collections;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * The state of the active configuration that the publisher of a folder last saw.
 *
 * @param follows the offset up to which the publisher has seen the whole configuration, -1 for none
 * @param seen the version of each file that it last saw
 */
public record PublishState(long follows, SortedMap<String, SeenFile> seen) {
    /** Returns the state of a publisher that has seen nothing. */
    public static PublishState none() {
        return new PublishState(-1, Collections.emptySortedMap());
    }

    /** Returns the state of a publisher that has seen all active files; every difference in its folder is an edit. */
    public static PublishState allSeen(ConfigurationView view) {
        SortedMap<String, SeenFile> seen = new TreeMap<>();
        view.files()
                .forEach((name, file) -> seen.put(name, new SeenFile(file.offset(), Sha256.hexDigest(file.content()))));
        return new PublishState(view.offset(), Collections.unmodifiableSortedMap(seen));
    }

    /**
     * Returns the state after comparing the folder with the active files.
     *
     * <p>A file that equals the active one counts as seen. Once the latest version of every active file was seen, the
     * publisher has seen the whole configuration, and every remaining difference in its folder is an edit.
     */
    PublishState updatedFrom(Map<String, String> folder, ConfigurationView view) {
        SortedMap<String, SeenFile> next = new TreeMap<>(seen);
        next.keySet()
                .removeIf(name -> !folder.containsKey(name) && !view.files().containsKey(name));
        view.files().forEach((name, file) -> {
            if (file.content().equals(folder.get(name))) {
                next.put(name, new SeenFile(file.offset(), Sha256.hexDigest(file.content())));
            }
        });
        long seenUpTo = hasSeenAll(next, view) ? Math.max(follows, view.offset()) : follows;
        return new PublishState(seenUpTo, Collections.unmodifiableSortedMap(next));
    }

    private static boolean hasSeenAll(Map<String, SeenFile> seen, ConfigurationView view) {
        return seen.keySet().equals(view.files().keySet())
                && seen.entrySet().stream()
                        .allMatch(file -> file.getValue().offset()
                                == view.files().get(file.getKey()).offset());
    }

    /**
     * The version of a file that the publisher last saw.
     *
     * @param offset the offset of the file's last change
     * @param sha256 the SHA-256 of its content in hexadecimal
     */
    public record SeenFile(long offset, String sha256) {}
}
