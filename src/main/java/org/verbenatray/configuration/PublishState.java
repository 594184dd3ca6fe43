package org.verbenatray.configuration;

import java.util.Collections;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * What the publisher of a folder last saw of the configuration in force.
 *
 * @param follows the offset up to which the publisher knew all of the configuration, -1 for none
 * @param seen what it last saw of each file
 */
public record PublishState(long follows, SortedMap<String, SeenFile> seen) {
    /** Returns the state of a publisher that saw nothing. */
    public static PublishState none() {
        return new PublishState(-1, Collections.emptySortedMap());
    }

    /** Returns the state of a publisher that knows all that is in force, so that its folder's differences are edits. */
    public static PublishState ofAll(ConfigurationView view) {
        SortedMap<String, SeenFile> seen = new TreeMap<>();
        view.files().forEach((name, file) -> seen.put(name, new SeenFile(file.offset(), Sha256.of(file.content()))));
        return new PublishState(view.offset(), Collections.unmodifiableSortedMap(seen));
    }

    /**
     * Returns the state after comparing the folder with what is in force.
     *
     * <p>Equal files count as seen. Once the newest change of every file was seen, the publisher knows all of the
     * configuration, and what its folder still has otherwise are its edits.
     */
    PublishState observe(Map<String, String> folder, ConfigurationView view) {
        SortedMap<String, SeenFile> next = new TreeMap<>(seen);
        next.keySet()
                .removeIf(name -> !folder.containsKey(name) && !view.files().containsKey(name));
        view.files().forEach((name, file) -> {
            if (file.content().equals(folder.get(name))) {
                next.put(name, new SeenFile(file.offset(), Sha256.of(file.content())));
            }
        });
        long known = knowsAll(next, view) ? Math.max(follows, view.offset()) : follows;
        return new PublishState(known, Collections.unmodifiableSortedMap(next));
    }

    /** Returns whether the newest change of every file was seen. */
    private static boolean knowsAll(Map<String, SeenFile> seen, ConfigurationView view) {
        return seen.keySet().equals(view.files().keySet())
                && seen.entrySet().stream()
                        .allMatch(file -> file.getValue().offset()
                                == view.files().get(file.getKey()).offset());
    }

    /**
     * What the publisher last saw of a file.
     *
     * @param offset the offset of the file's last change
     * @param sha256 the hash of its content
     */
    public record SeenFile(long offset, String sha256) {}
}
