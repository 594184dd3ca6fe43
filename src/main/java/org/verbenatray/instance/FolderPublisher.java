package org.verbenatray.instance;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SortedMap;
import org.verbenatray.configuration.ChangeSets;
import org.verbenatray.configuration.ConfigurationFolder;
import org.verbenatray.configuration.ConfigurationFolderException;
import org.verbenatray.configuration.ConfigurationMerger;
import org.verbenatray.configuration.ConfigurationProblem;
import org.verbenatray.configuration.ConfigurationView;
import org.verbenatray.configuration.MergeResult;
import org.verbenatray.configuration.PublishPlan;
import org.verbenatray.configuration.PublishPlan.Divergence;
import org.verbenatray.configuration.PublishState;
import org.verbenatray.instance.PublishResult.Kind;
import org.verbenatray.log.RecordBody.ConfigurationChange;
import org.verbenatray.log.Verdict;
import org.verbenatray.log.Verdict.Rejection;

/** Publishes what the author of a configuration folder changed, and never what the author has not seen. */
public final class FolderPublisher {
    /** The ways out of a conflict. */
    private static final String WAYS_OUT =
            " (publish --take-over gets what is in force into the folder, publish --overrule replaces it)";

    /** The folder. */
    private final Path folder;

    /** The log. */
    private final LogSession session;

    /** The change set that was rejected last with what was in force then, empty when none was. */
    private Optional<Submission> rejected = Optional.empty();

    /** Creates a publisher. */
    private FolderPublisher(Path folder, LogSession session) {
        this.folder = folder;
        this.session = session;
    }

    /** Returns a publisher of a folder. */
    public static FolderPublisher create(Path folder, LogSession session) {
        return new FolderPublisher(folder, session);
    }

    /** Returns everything that is wrong with a folder without publishing it. */
    public static List<ConfigurationProblem> check(Path folder) {
        try {
            return ConfigurationMerger.merge(ConfigurationFolder.readSome(folder))
                    .problems();
        } catch (ConfigurationFolderException e) {
            return e.problems();
        }
    }

    /** Publishes the edits of the folder's author unless another author changed the same files. */
    public PublishResult publish() {
        return readAndPublish(false);
    }

    /** Publishes the folder as it is, also against what other authors changed up to now. */
    public PublishResult overrule() {
        return readAndPublish(true);
    }

    /**
     * Writes what is in force into the folder for files that only others changed and for files in conflict.
     *
     * @throws IOException when a file cannot be written
     */
    public PublishResult takeOver() throws IOException {
        try {
            SortedMap<String, String> files = ConfigurationFolder.read(folder);
            PublishPlan plan = ChangeSets.plan(files, session.configuration(), state(false));
            List<Divergence> replaced = new ArrayList<>(plan.behind());
            replaced.addAll(plan.conflicts());
            List<String> lines = new ArrayList<>();
            for (Divergence divergence : replaced) {
                Optional<String> copy = ConfigurationFolder.replace(folder, divergence.file(), divergence.inForce());
                lines.add("taken over: " + divergence.file()
                        + copy.map(name -> ", your version is kept as " + name).orElse(""));
            }
            PublishPlan rest = ChangeSets.plan(ConfigurationFolder.read(folder), session.configuration(), plan.next());
            keep(rest.next(), lines);
            rest.change()
                    .ifPresent(change -> change.files()
                            .forEach(file -> lines.add("not published yet: your edit of " + file.name())));
            lines.add(replaced.isEmpty() ? "nothing to take over" : "publish again after your edits");
            return new PublishResult(Kind.TAKEN_OVER, List.copyOf(lines));
        } catch (ConfigurationFolderException e) {
            return invalid(e.problems());
        }
    }

    /** Publishes the folder as it is now. */
    private PublishResult readAndPublish(boolean overrule) {
        try {
            SortedMap<String, String> files = ConfigurationFolder.readSome(folder);
            MergeResult merged = ConfigurationMerger.merge(files);
            if (!merged.isValid()) {
                return invalid(merged.problems());
            }
            PublishPlan plan = ChangeSets.plan(files, session.configuration(), state(overrule));
            return carryOut(files, plan);
        } catch (ConfigurationFolderException e) {
            return invalid(e.problems());
        }
    }

    /** Appends the change set of a plan where there is one. */
    private PublishResult carryOut(SortedMap<String, String> files, PublishPlan plan) {
        List<String> lines = new ArrayList<>();
        plan.behind().forEach(divergence -> lines.add("behind: " + divergence.message() + WAYS_OUT));
        plan.conflicts().forEach(divergence -> lines.add("conflict: " + divergence.message() + WAYS_OUT));
        if (plan.change().isEmpty()) {
            keep(plan.next(), lines);
            lines.add("nothing published, in force is offset "
                    + session.configuration().offset());
            return new PublishResult(plan.conflicts().isEmpty() ? Kind.UNCHANGED : Kind.CONFLICT, List.copyOf(lines));
        }
        ConfigurationChange change = plan.change().get();
        Submission submission = new Submission(change, session.configuration().offset());
        if (rejected.filter(submission::equals).isPresent()) {
            lines.add("the same change set was rejected before and is not submitted again; change the folder");
            return new PublishResult(Kind.REJECTED_BEFORE, List.copyOf(lines));
        }
        Verdict verdict = session.append(change, Optional.of(plan.follows()));
        if (verdict.rejection().isPresent()) {
            rejected = Optional.of(submission);
            lines.add(rejectionText(verdict.offset(), verdict.rejection().get()));
            return new PublishResult(Kind.REJECTED, List.copyOf(lines));
        }
        rejected = Optional.empty();
        PublishPlan after = ChangeSets.plan(files, session.configuration(), plan.next());
        change.files()
                .forEach(file -> lines.add((file.content().isPresent() ? "published: " : "removed: ") + file.name()));
        lines.add("accepted at offset " + verdict.offset());
        keep(after.next(), lines);
        return new PublishResult(Kind.ACCEPTED, List.copyOf(lines));
    }

    /** Keeps what the author has seen; a failure is told and does not hide what was published. */
    private void keep(PublishState next, List<String> lines) {
        try {
            ConfigurationFolder.writePublishState(folder, next);
        } catch (IOException e) {
            lines.add("the publish state cannot be written to " + folder
                    + "; give write permission, or the next publish takes edits for conflicts");
        }
    }

    /** Returns what the author of the folder has seen. */
    private PublishState state(boolean overrule) {
        ConfigurationView view = session.configuration();
        return overrule ? PublishState.ofAll(view) : ConfigurationFolder.readPublishState(folder);
    }

    /** Returns the result for a folder that cannot be published. */
    private static PublishResult invalid(List<ConfigurationProblem> problems) {
        return new PublishResult(
                Kind.INVALID,
                problems.stream().map(ConfigurationProblem::message).toList());
    }

    /** Returns a rejection for a terminal. */
    private static String rejectionText(long offset, Rejection rejection) {
        return "rejected at offset " + offset + ": " + rejection.detail();
    }

    /**
     * A change set against what was in force.
     *
     * @param change the change set
     * @param inForce the offset of the configuration in force
     */
    private record Submission(ConfigurationChange change, long inForce) {}
}
