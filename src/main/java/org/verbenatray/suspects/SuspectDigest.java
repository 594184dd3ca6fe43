package org.verbenatray.suspects;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/**
 * The message about suspect requests that an instance publishes to its peers as JSON.
 *
 * @param instance the name of the sending instance
 * @param sequence a number that increases with each change of {@code isolatedRuns}
 * @param isolatedRuns all isolated runs of the sending instance; {@code aloneRuns} in JSON
 * @param entries the crash histories of fingerprints; may be only those that changed
 */
public record SuspectDigest(
        String instance,
        long sequence,
        @JsonProperty("aloneRuns") List<IsolatedRun> isolatedRuns,
        List<SuspectEntry> entries) {}
