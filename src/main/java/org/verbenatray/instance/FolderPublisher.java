package org.verbenatray.instance;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SortedMap;
import org.verbenatray.configuration.ConfigurationFolder;
import org.verbenatray.configuration.ConfigurationFolderException;
import org.verbenatray.configuration.ConfigurationMerger;
import org.verbenatray.configuration.ConfigurationProblem;
import org.verbenatray.configuration.ConfigurationView;
import org.verbenatray.configuration.MergeResult;
import org.verbenatray.configuration.PublishPlan;
import org.verbenatray.configuration.PublishPlan.Divergence;
import org.verbenatray.configuration.PublishPlanner;
import org.verbenatray.configuration.PublishState;
import org.verbenatray.instance.PublishResult.Kind;
import org.verbenatray.log.RecordBody.ConfigurationChange;
import org.verbenatray.log.Verdict;
import org.verbenatray.log.Verdict.Rejection;

/**
 * Publishes the edits that an author made in a configuration folder, but overwrites a version that the author has
 * not seen only in {@link #overrule}. Not thread-safe.
 */
public final class FolderPublisher {
    /** The options that resolve a conflict. */
    private static final String CONFLICT_REMEDY =
            " (publish --take-over copies the files in force into the folder, publish --overrule replaces them)";

    private final Path folder;

    private final LogSession session;

    /** The last submission if it was rejected, so that it is not submitted again unchanged. */
    private Optional<Submission> lastRejected = Optional.empty();

    private FolderPublisher(Path folder, LogSession session) {
        this.folder = folder;
        this.session = session;
    }

    /** Creates a publisher of a folder. */
    public static FolderPublisher create(Path folder, LogSession session) {
        return new FolderPublisher(folder, session);
    }

    /** Returns all problems of a folder without publishing it. */
    public static List<ConfigurationProblem> validate(Path folder) {
        try {
            return ConfigurationMerger.merge(ConfigurationFolder.readNonEmpty(folder))
                    .problems();
        } catch (ConfigurationFolderException e) {
            return e.problems();
        }
    }

    /** Publishes the author's edits, except in files that another author has changed. */
    public PublishResult publish() {
        return readAndPublish(false);
    }

    /** Publishes the folder as it is, replacing the changes that other authors have made so far. */
    public PublishResult overrule() {
        return readAndPublish(true);
    }

    /**
     * Writes the content in force into the folder for files that only others changed and for files in conflict. The
     * author's version of a replaced file is kept as a copy.
     *
     * @throws IOException when a file cannot be written
     */
    public PublishResult takeOver() throws IOException {
        try {
            SortedMap<String, String> files = ConfigurationFolder.read(folder);
            PublishPlan plan = PublishPlanner.plan(files, session.configuration(), publishState(false));
            List<Divergence> replaced = new ArrayList<>(plan.outdated());
            replaced.addAll(plan.conflicts());
            List<String> lines = new ArrayList<>();
            for (Divergence divergence : replaced) {
                Optional<String> copy =
                        ConfigurationFolder.replaceFile(folder, divergence.file(), divergence.activeContent());
                lines.add("taken over: " + divergence.file()
                        + copy.map(name -> ", your version is kept as " + name).orElse(""));
            }
            PublishPlan rest =
                    PublishPlanner.plan(ConfigurationFolder.read(folder), session.configuration(), plan.nextState());
            savePublishState(rest.nextState(), lines);
            rest.change()
                    .ifPresent(change -> change.files()
                            .forEach(file -> lines.add("not published yet: your edit of " + file.name())));
            lines.add(replaced.isEmpty() ? "nothing to take over" : "publish again after your edits");
            return new PublishResult(Kind.TAKEN_OVER, List.copyOf(lines));
        } catch (ConfigurationFolderException e) {
            return invalid(e.problems());
        }
    }

    /** Reads, validates and publishes the folder. */
    private PublishResult readAndPublish(boolean overrule) {
        try {
            SortedMap<String, String> files = ConfigurationFolder.readNonEmpty(folder);
            MergeResult merged = ConfigurationMerger.merge(files);
            if (!merged.isValid()) {
                return invalid(merged.problems());
            }
            PublishPlan plan = PublishPlanner.plan(files, session.configuration(), publishState(overrule));
            return submit(files, plan);
        } catch (ConfigurationFolderException e) {
            return invalid(e.problems());
        }
    }

    /** Appends the change set of a plan, if it has one, and reports the result. */
    private PublishResult submit(SortedMap<String, String> files, PublishPlan plan) {
        List<String> lines = new ArrayList<>();
        plan.outdated().forEach(divergence -> lines.add("behind: " + divergence.message() + CONFLICT_REMEDY));
        plan.conflicts().forEach(divergence -> lines.add("conflict: " + divergence.message() + CONFLICT_REMEDY));
        if (plan.change().isEmpty()) {
            savePublishState(plan.nextState(), lines);
            lines.add("nothing published, in force is offset "
                    + session.configuration().offset());
            return new PublishResult(plan.conflicts().isEmpty() ? Kind.UNCHANGED : Kind.CONFLICT, List.copyOf(lines));
        }
        ConfigurationChange change = plan.change().get();
        Submission submission = new Submission(change, session.configuration().offset());
        if (lastRejected.filter(submission::equals).isPresent()) {
            lines.add("the same change set was rejected before and is not submitted again; change the folder");
            return new PublishResult(Kind.REJECTED_BEFORE, List.copyOf(lines));
        }
        Verdict verdict = session.append(change, Optional.of(plan.follows()));
        if (verdict.rejection().isPresent()) {
            lastRejected = Optional.of(submission);
            lines.add(rejectionText(verdict.offset(), verdict.rejection().get()));
            return new PublishResult(Kind.REJECTED, List.copyOf(lines));
        }
        lastRejected = Optional.empty();
        PublishPlan after = PublishPlanner.plan(files, session.configuration(), plan.nextState());
        change.files()
                .forEach(file -> lines.add((file.content().isPresent() ? "published: " : "removed: ") + file.name()));
        lines.add("accepted at offset " + verdict.offset());
        savePublishState(after.nextState(), lines);
        return new PublishResult(Kind.ACCEPTED, List.copyOf(lines));
    }

    /** Saves the versions that the author has seen; a failure only adds a line to the report. */
    private void savePublishState(PublishState next, List<String> lines) {
        try {
            ConfigurationFolder.writePublishState(folder, next);
        } catch (IOException e) {
            lines.add("the publish state cannot be written to " + folder
                    + "; give write permission, or the next publish reports edits as conflicts");
        }
    }

    /** Returns the versions that the author has seen; with overrule, the versions in force. */
    private PublishState publishState(boolean overrule) {
        ConfigurationView view = session.configuration();
        return overrule ? PublishState.allSeen(view) : ConfigurationFolder.readPublishState(folder);
    }

    private static PublishResult invalid(List<ConfigurationProblem> problems) {
        return new PublishResult(
                Kind.INVALID,
                problems.stream().map(ConfigurationProblem::message).toList());
    }

    private static String rejectionText(long offset, Rejection rejection) {
        return "rejected at offset " + offset + ": " + rejection.detail();
    }

    /**
     * A change set with the configuration that it was submitted against.
     *
     * @param change the change set
     * @param inForceOffset the offset of the configuration in force
     */
    private record Submission(ConfigurationChange change, long inForceOffset) {}
}
