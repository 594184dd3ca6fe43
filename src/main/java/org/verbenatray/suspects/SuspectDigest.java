package org.verbenatray.suspects;

import java.util.List;

/**
 * What one instance tells its peers about suspects.
 *
 * @param instance the instance
 * @param sequence rises with each change of the instance's runs alone
 * @param aloneRuns the instance's runs alone, all of them
 * @param entries the entries
 */
public record SuspectDigest(String instance, long sequence, List<AloneRun> aloneRuns, List<SuspectEntry> entries) {}
