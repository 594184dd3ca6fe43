package org.verbenatray.openwork;

import java.util.List;
import java.util.Map;

/**
 * What one instance tells others of its open work: totals, so that a later notice makes up for a lost one.
 *
 * @param instance the name of the sender
 * @param start a number that grows with each start of the sender's process
 * @param sequence the number of the notice since that start
 * @param engines the work at each engine that changed or is to be confirmed, by the start of the engine
 * @param kept the parts of prompts that engines were given since the notice before
 */
public record WorkNotice(
        String instance, long start, long sequence, Map<String, EngineWork> engines, List<KeptParts> kept) {}
