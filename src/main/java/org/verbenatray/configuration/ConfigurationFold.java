package org.verbenatray.configuration;

import com.google.common.base.Strings;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeMap;
import org.verbenatray.configuration.ConfigurationView.ActiveFile;
import org.verbenatray.configuration.HistoryEntry.EditKind;
import org.verbenatray.configuration.HistoryEntry.FileEdit;
import org.verbenatray.configuration.RecentChanges.AcceptedChange;
import org.verbenatray.configuration.SourceNode.Mapping;
import org.verbenatray.log.LogRecord;
import org.verbenatray.log.RecordBody;
import org.verbenatray.log.RecordBody.ConfigurationChange;
import org.verbenatray.log.RecordBody.FileChange;
import org.verbenatray.log.RecordCodec;
import org.verbenatray.log.RecordFold;
import org.verbenatray.log.StoredRecord;
import org.verbenatray.log.Verdict;
import org.verbenatray.log.Verdict.Kind;
import org.verbenatray.log.Verdict.Rejection;

/**
 * Replicated state machine that builds the active configuration from the change sets of the log.
 *
 * <p>A change set is accepted when its author had seen the last change of each of its files, no entry that it changes
 * was changed through another file after the configuration offset that its author followed, and the merged result is
 * valid. Every rule that this depends on, including the schema and its bounds, belongs to a format version and never
 * changes within it, because all instances have to accept the same change sets.
 *
 * <p>Calls that change the state need the owner's lock; {@link #active()} and {@link #view()} are safe to call from any
 * thread.
 */
public final class ConfigurationFold implements RecordFold {
    /** The name of this state machine's part in snapshots. */
    private static final String NAME = "configuration";

    /** The format version of the rules that are implemented here. */
    private static final int FORMAT = 1;

    private SortedMap<String, SourceFile> parsedFiles = new TreeMap<>();

    private RecentChanges recent = RecentChanges.create();

    private ChangeHistory history = ChangeHistory.create();

    /** The offset of the last applied record, accepted or rejected; -1 for none. */
    private long appliedUpTo = -1;

    private volatile ConfigurationView view = new ConfigurationView(-1, "", Collections.emptySortedMap(), List.of());

    private volatile ActiveConfiguration active = ActiveConfiguration.none();

    private ConfigurationFold() {}

    /** Returns an instance in the state before the first record. */
    public static ConfigurationFold create() {
        return new ConfigurationFold();
    }

    /** Returns the active configuration. */
    public ActiveConfiguration active() {
        return active;
    }

    /** Returns the active files and the history. */
    public ConfigurationView view() {
        return view;
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public boolean handles(RecordBody body) {
        return body instanceof ConfigurationChange;
    }

    @Override
    public Verdict apply(StoredRecord stored) {
        if (stored.offset() <= appliedUpTo) {
            String detail = "the record at this offset was already applied; nothing to do";
            return Verdict.rejected(stored.offset(), Rejection.create(Kind.DUPLICATE, detail));
        }
        appliedUpTo = stored.offset();
        if (stored.record().format() != FORMAT) {
            String detail = "format " + stored.record().format() + " is unknown; update this instance";
            return Verdict.rejected(stored.offset(), Rejection.create(Kind.UNKNOWN_FORMAT, detail));
        }
        ConfigurationChange change = (ConfigurationChange) stored.record().body();
        Optional<Rejection> rejection = applyChange(stored, change);
        if (rejection.isPresent()) {
            history.add(historyEntry(stored, change, rejection, view.hash()));
            view = new ConfigurationView(view.offset(), view.hash(), view.files(), history.entries());
        }
        return new Verdict(stored.offset(), rejection);
    }

    @Override
    public String exportState() {
        return RecordCodec.encode(new ExportedState(
                FORMAT, appliedUpTo, view.offset(), view.hash(), view.files(), recent.export(), history.entries()));
    }

    @Override
    public void importState(String exported) {
        ExportedState state = RecordCodec.decode(exported, ExportedState.class);
        if (state.format() != FORMAT) {
            throw new IllegalArgumentException(
                    "configuration state of format " + state.format() + "; start from a snapshot of format " + FORMAT);
        }
        if (state.judgedUpTo() < appliedUpTo) {
            throw new IllegalArgumentException("configuration state up to offset " + state.judgedUpTo()
                    + " is older than this instance's, up to " + appliedUpTo + "; take a newer snapshot");
        }
        SortedMap<String, SourceFile> files = new TreeMap<>();
        state.files().forEach((name, file) -> files.put(name, SourceParser.parse(name, file.content())));
        FleetConfiguration fleet = ConfigurationMerger.mergeParsed(files)
                .fleet()
                .orElseThrow(() -> new IllegalArgumentException("configuration state breaks the rules; take another"));
        parsedFiles = files;
        recent = RecentChanges.of(state.recent());
        history = ChangeHistory.of(state.history());
        appliedUpTo = state.judgedUpTo();
        SortedMap<String, ActiveFile> activeFiles = Collections.unmodifiableSortedMap(new TreeMap<>(state.files()));
        publish(state.offset(), state.hash(), activeFiles, fleet);
    }

    /** Applies a change set if every rule is kept; otherwise returns the rejection and leaves the state as it is. */
    private Optional<Rejection> applyChange(StoredRecord stored, ConfigurationChange change) {
        long follows = stored.record().follows().orElse(-1L);
        Optional<Rejection> early = ChangeSetRules.checkForm(stored.record().author(), change)
                .or(() -> ChangeSetRules.checkFilesNotStale(change, follows, view.files(), recent));
        if (early.isPresent()) {
            return early;
        }
        SortedMap<String, SourceFile> next = parsedAfter(change);
        SortedMap<String, ActiveFile> files = filesAfter(stored, change);
        AcceptedChange accepted =
                new AcceptedChange(stored.offset(), stored.record().author(), changedEntries(change, next));
        Optional<Rejection> rejection = ChangeSetRules.checkEntriesNotStale(accepted, follows, recent)
                .or(() -> ChangeSetRules.checkTotalSize(files));
        if (rejection.isPresent()) {
            return rejection;
        }
        MergeResult merged = ConfigurationMerger.mergeParsed(next);
        if (merged.fleet().isEmpty()) {
            return ChangeSetRules.checkMergeProblems(merged.problems());
        }
        String hash = chainedHash(stored, files);
        history.add(historyEntry(stored, change, Optional.empty(), hash));
        recent.add(accepted);
        parsedFiles = next;
        publish(stored.offset(), hash, files, merged.fleet().get());
        return Optional.empty();
    }

    private SortedMap<String, SourceFile> parsedAfter(ConfigurationChange change) {
        SortedMap<String, SourceFile> next = new TreeMap<>(parsedFiles);
        for (FileChange file : change.files()) {
            file.content()
                    .ifPresentOrElse(
                            content -> next.put(file.name(), SourceParser.parse(file.name(), content)),
                            () -> next.remove(file.name()));
        }
        return next;
    }

    private SortedMap<String, ActiveFile> filesAfter(StoredRecord stored, ConfigurationChange change) {
        SortedMap<String, ActiveFile> files = new TreeMap<>(view.files());
        for (FileChange file : change.files()) {
            file.content()
                    .ifPresentOrElse(
                            content -> files.put(
                                    file.name(),
                                    new ActiveFile(
                                            content,
                                            stored.offset(),
                                            stored.record().author())),
                            () -> files.remove(file.name()));
        }
        return Collections.unmodifiableSortedMap(files);
    }

    private SortedMap<String, SortedSet<String>> changedEntries(
            ConfigurationChange change, SortedMap<String, SourceFile> next) {
        SortedMap<String, SortedSet<String>> entriesByFile = new TreeMap<>();
        for (FileChange file : change.files()) {
            Mapping before = rootOrEmpty(parsedFiles.get(file.name()));
            Mapping after = rootOrEmpty(next.get(file.name()));
            entriesByFile.put(file.name(), ChangedEntries.between(before, after));
        }
        return entriesByFile;
    }

    /** Returns the top-level mapping of a file, or an empty one if the file is null. */
    private static Mapping rootOrEmpty(SourceFile file) {
        return file == null ? new Mapping(new SourceLocation("", 0), Map.of()) : file.root();
    }

    /** Returns the hash of a new state, chained to the hash of the active one. */
    private String chainedHash(StoredRecord stored, SortedMap<String, ActiveFile> files) {
        StringBuilder chained = new StringBuilder();
        chained.append(view.hash()).append('\n');
        chained.append(stored.offset()).append('\n');
        chained.append(Sha256.hexDigest(stored.record().author())).append('\n');
        files.forEach((name, file) -> chained.append(name)
                .append(' ')
                .append(Sha256.hexDigest(file.content()))
                .append('\n'));
        return Sha256.hexDigest(chained.toString());
    }

    private HistoryEntry historyEntry(
            StoredRecord stored, ConfigurationChange change, Optional<Rejection> rejection, String hash) {
        List<FileChange> files = change.files() == null ? List.of() : change.files();
        List<FileEdit> edits = files.stream()
                .filter(file -> file != null && file.name() != null)
                .limit(ConfigurationLimits.MAX_HISTORY_FILES)
                .map(this::fileEdit)
                .toList();
        LogRecord record = stored.record();
        String author = Strings.nullToEmpty(record.author());
        String bounded = author.substring(0, Math.min(author.length(), ConfigurationLimits.MAX_AUTHOR_CHARS));
        return new HistoryEntry(stored.offset(), bounded, record.atMillis(), files.size(), edits, rejection, hash);
    }

    private FileEdit fileEdit(FileChange file) {
        String name = file.name();
        String bounded = name.substring(0, Math.min(name.length(), ConfigurationLimits.MAX_FILE_NAME_CHARS));
        if (file.content().isEmpty()) {
            return new FileEdit(bounded, EditKind.REMOVED);
        }
        return new FileEdit(bounded, view.files().containsKey(name) ? EditKind.EDITED : EditKind.ADDED);
    }

    /** Makes a state visible to other threads. */
    private void publish(long offset, String hash, SortedMap<String, ActiveFile> files, FleetConfiguration fleet) {
        view = new ConfigurationView(offset, hash, files, history.entries());
        active = new ActiveConfiguration(offset, hash, fleet);
    }

    /**
     * The state for a snapshot.
     *
     * @param format the format version
     * @param judgedUpTo the offset of the last applied record, accepted or rejected
     * @param offset the offset of the last accepted change set
     * @param hash the hash chained over all accepted change sets
     * @param files the active files by name
     * @param recent the entries that the latest accepted change sets changed
     * @param history the latest accepted and rejected change sets
     */
    record ExportedState(
            int format,
            long judgedUpTo,
            long offset,
            String hash,
            SortedMap<String, ActiveFile> files,
            RecentChanges.Exported recent,
            List<HistoryEntry> history) {}
}
