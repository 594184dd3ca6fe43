package org.verbenatray.configuration;

import java.util.List;
import java.util.Optional;
import org.verbenatray.log.RecordBody.ConfigurationChange;

/**
 * The result of comparing a configuration folder with the active files, for its publisher.
 *
 * @param change the change set to append, empty if nothing was edited or there is a conflict
 * @param follows the configuration offset on which the change set is based
 * @param conflicts the files that were edited in the folder and changed by another author; the folder's author has to
 *     resolve them
 * @param outdated the files that only another author changed; the folder has to take over their active content
 * @param nextState the publish state to be stored after the comparison
 */
public record PublishPlan(
        Optional<ConfigurationChange> change,
        long follows,
        List<Divergence> conflicts,
        List<Divergence> outdated,
        PublishState nextState) {
    /**
     * A file whose active content differs from the folder's because of a change by another author.
     *
     * @param file the file name
     * @param author the author of that change, empty if it is no longer in the history
     * @param offset the offset of that change, empty if it is no longer in the history
     * @param activeContent the active content, empty if the file was removed
     */
    public record Divergence(
            String file, Optional<String> author, Optional<Long> offset, Optional<String> activeContent) {
        /** Returns a message with the change and the remedy for the author of the folder. */
        public String message() {
            String who = author.orElse("another author")
                    + offset.map(at -> " at offset " + at).orElse("");
            String what = activeContent.isPresent() ? " was changed by " : " was removed by ";
            return file + what + who + "; take over what is in force or settle the difference, then publish again";
        }
    }
}
