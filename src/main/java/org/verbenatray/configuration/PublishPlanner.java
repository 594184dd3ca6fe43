package org.verbenatray.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeSet;
import org.verbenatray.configuration.ConfigurationView.ActiveFile;
import org.verbenatray.configuration.PublishPlan.Divergence;
import org.verbenatray.configuration.PublishState.SeenFile;
import org.verbenatray.log.RecordBody.ConfigurationChange;
import org.verbenatray.log.RecordBody.FileChange;

/**
 * Computes the change set that publishes a configuration folder.
 *
 * <p>A three-way comparison of the folder, the active files and the state that the publisher last saw keeps a publisher
 * from reverting changes of other authors that it has not seen.
 */
public final class PublishPlanner {
    /** The seen offset of a file that the publisher has not seen. */
    private static final long UNSEEN = -1;

    private PublishPlanner() {}

    /**
     * Returns the plan for publishing a folder over the active files.
     *
     * <p>A file that differs from the last seen content was edited in the folder. A file that is as last seen, while
     * the active file has changed, is outdated: it is reported and not published. A file that was both edited and
     * changed by another author is a conflict, and prevents the whole change set from being published.
     *
     * @param folder the content of each file in the folder, by name
     * @param view the active files
     * @param before the state that the publisher last saw
     */
    public static PublishPlan plan(SortedMap<String, String> folder, ConfigurationView view, PublishState before) {
        PublishState state = before.updatedFrom(folder, view);
        List<FileChange> edits = new ArrayList<>();
        List<Divergence> conflicts = new ArrayList<>();
        List<Divergence> outdated = new ArrayList<>();
        for (String name : allNames(folder, view)) {
            Optional<String> local = Optional.ofNullable(folder.get(name));
            Optional<ActiveFile> active = Optional.ofNullable(view.files().get(name));
            if (local.equals(active.map(ActiveFile::content))) {
                continue;
            }
            Optional<SeenFile> seen = Optional.ofNullable(state.seen().get(name));
            boolean edited = !local.map(Sha256::hexDigest).equals(seen.map(SeenFile::sha256));
            boolean changedByOthers = !active.map(ActiveFile::offset).equals(seen.map(SeenFile::offset));
            if (!changedByOthers) {
                edits.add(new FileChange(name, local, seen.map(SeenFile::offset).orElse(UNSEEN)));
            } else {
                (edited ? conflicts : outdated).add(divergence(name, active, view));
            }
        }
        Optional<ConfigurationChange> change = edits.isEmpty() || !conflicts.isEmpty()
                ? Optional.empty()
                : Optional.of(new ConfigurationChange(List.copyOf(edits)));
        return new PublishPlan(change, state.follows(), List.copyOf(conflicts), List.copyOf(outdated), state);
    }

    private static SortedSet<String> allNames(SortedMap<String, String> folder, ConfigurationView view) {
        SortedSet<String> names = new TreeSet<>(folder.keySet());
        names.addAll(view.files().keySet());
        return names;
    }

    private static Divergence divergence(String name, Optional<ActiveFile> active, ConfigurationView view) {
        if (active.isPresent()) {
            ActiveFile file = active.get();
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
