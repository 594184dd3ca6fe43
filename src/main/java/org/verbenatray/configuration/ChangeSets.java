package org.verbenatray.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeSet;
import org.verbenatray.configuration.ConfigurationView.FileInForce;
import org.verbenatray.configuration.PublishPlan.Divergence;
import org.verbenatray.configuration.PublishState.SeenFile;
import org.verbenatray.log.RecordBody.ConfigurationChange;
import org.verbenatray.log.RecordBody.FileChange;

/** Computes what a folder's publisher has to append, without reverting what it has not seen. */
public final class ChangeSets {
    /** The seen offset of a file that was not seen. */
    private static final long UNSEEN = -1;

    /** Prevents instances. */
    private ChangeSets() {}

    /**
     * Compares a folder with what is in force and with what its publisher last saw.
     *
     * <p>A file that differs from what was seen is an edit of the author. A file that is as it was seen, while the one
     * in force differs, is behind: it is reported, not published. A file to which both happened is a conflict, and
     * holds back the whole change set.
     */
    public static PublishPlan plan(SortedMap<String, String> folder, ConfigurationView view, PublishState before) {
        PublishState state = before.observe(folder, view);
        List<FileChange> edits = new ArrayList<>();
        List<Divergence> conflicts = new ArrayList<>();
        List<Divergence> behind = new ArrayList<>();
        for (String name : allNames(folder, view)) {
            Optional<String> wanted = Optional.ofNullable(folder.get(name));
            Optional<FileInForce> inForce = Optional.ofNullable(view.files().get(name));
            if (wanted.equals(inForce.map(FileInForce::content))) {
                continue;
            }
            Optional<SeenFile> seen = Optional.ofNullable(state.seen().get(name));
            boolean edited = !wanted.map(Sha256::of).equals(seen.map(SeenFile::sha256));
            boolean overtaken = !inForce.map(FileInForce::offset).equals(seen.map(SeenFile::offset));
            if (!overtaken) {
                edits.add(
                        new FileChange(name, wanted, seen.map(SeenFile::offset).orElse(UNSEEN)));
            } else {
                (edited ? conflicts : behind).add(divergence(name, inForce, view));
            }
        }
        Optional<ConfigurationChange> change = edits.isEmpty() || !conflicts.isEmpty()
                ? Optional.empty()
                : Optional.of(new ConfigurationChange(List.copyOf(edits)));
        return new PublishPlan(change, state.follows(), List.copyOf(conflicts), List.copyOf(behind), state);
    }

    /** Returns the names of the files in the folder or in force. */
    private static SortedSet<String> allNames(SortedMap<String, String> folder, ConfigurationView view) {
        SortedSet<String> names = new TreeSet<>(folder.keySet());
        names.addAll(view.files().keySet());
        return names;
    }

    /** Returns the report on a file that another author changed. */
    private static Divergence divergence(String name, Optional<FileInForce> inForce, ConfigurationView view) {
        if (inForce.isPresent()) {
            FileInForce file = inForce.get();
            return new Divergence(
                    name, Optional.of(file.author()), Optional.of(file.offset()), Optional.of(file.content()));
        }
        Optional<HistoryEntry> removal = view.history().stream()
                .filter(entry -> entry.rejection().isEmpty())
                .filter(entry ->
                        entry.files().stream().anyMatch(file -> file.name().equals(name)))
                .reduce((earlier, later) -> later);
        return new Divergence(
                name, removal.map(HistoryEntry::author), removal.map(HistoryEntry::offset), Optional.empty());
    }
}
