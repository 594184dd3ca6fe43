package org.verbenatray.configuration;

import java.util.List;
import java.util.Optional;
import org.verbenatray.log.RecordBody.ConfigurationChange;

/**
 * What a publisher has to do.
 *
 * @param change the change set to append, empty when there is none or a conflict holds it back
 * @param follows the configuration offset that the record has to follow
 * @param conflicts the files that both the folder and another author changed; the author has to settle them
 * @param behind the files that only another author changed; the folder has to take them over
 * @param next what the publisher has seen now, to be kept
 */
public record PublishPlan(
        Optional<ConfigurationChange> change,
        long follows,
        List<Divergence> conflicts,
        List<Divergence> behind,
        PublishState next) {
    /**
     * A file in force that differs from the folder's because of another author.
     *
     * @param file the file name
     * @param author the author of the change in force, empty when it is no longer remembered
     * @param offset the offset of that change, empty when it is no longer remembered
     * @param inForce the content in force, empty when the file was removed
     */
    public record Divergence(String file, Optional<String> author, Optional<Long> offset, Optional<String> inForce) {
        /** Returns what happened and what the author of the folder has to do. */
        public String message() {
            String who = author.orElse("another author")
                    + offset.map(at -> " at offset " + at).orElse("");
            String what = inForce.isPresent() ? " was changed by " : " was removed by ";
            return file + what + who + "; take over what is in force or settle the difference, then publish again";
        }
    }
}
