package org.verbenatray.instance;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.verbenatray.backends.BackendDirectory;
import org.verbenatray.continuation.RecentVersions;
import org.verbenatray.log.KeyedLog;
import org.verbenatray.state.KeyedFollower;

/** Applies the list of backend servers and tells how current it is. */
final class ServersListener implements KeyedFollower.Listener {
    /** Reads the listing of a log entry; empty if the entry names no usable server. */
    private final Function<KeyedLog.Entry, Optional<BackendDirectory.Listing>> decoder;

    private final BackendDirectory directory;
    private final CutOffDetector cutOffDetector;
    private final RecentVersions recentVersions;

    ServersListener(
            Function<KeyedLog.Entry, Optional<BackendDirectory.Listing>> decoder,
            BackendDirectory directory,
            CutOffDetector cutOffDetector,
            RecentVersions recentVersions) {
        this.decoder = decoder;
        this.directory = directory;
        this.cutOffDetector = cutOffDetector;
        this.recentVersions = recentVersions;
    }

    /** A key with an odd entry still stands in the list, so that its server is kept as it was known. */
    @Override
    public void onListing(List<KeyedLog.Entry> entries) {
        Set<String> listedIds = entries.stream().map(KeyedLog.Entry::key).collect(Collectors.toSet());
        directory.replace(
                entries.stream().map(decoder).flatMap(Optional::stream).toList(), listedIds);
    }

    @Override
    public void onRecord(KeyedLog.Entry entry) {
        apply(entry);
    }

    @Override
    public boolean apply(KeyedLog.Entry entry) {
        if (entry.value().isEmpty()) {
            directory.remove(entry.key());
            return true;
        }
        return decoder.apply(entry).map(directory::put).orElse(false);
    }

    @Override
    public void onCaughtUp() {
        cutOffDetector.onListRead();
        recentVersions.recordListRead();
    }

    /** Servers that the copy lacks write their entries again, as after an outage. */
    @Override
    public void onRestored() {
        directory.markListUnreachable();
    }

    @Override
    public void onUnreachable() {
        directory.markListUnreachable();
        cutOffDetector.onListUnreachable();
    }
}
