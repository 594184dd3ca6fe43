package org.verbenatray.openwork;

import java.util.List;
import java.util.Map;
import org.verbenatray.resilience.Crash;

/**
 * A notice of the open work of one instance, and of crashes that servers suffered, sent to its peers.
 *
 * <p>It holds totals instead of differences, so that a later notice makes up for a lost one.
 *
 * @param instance the name of the sender
 * @param incarnation a number that increases with each start of the sender's process
 * @param sequence the sequence number of the notice within the incarnation
 * @param workByEngine the total work at each engine that has changed or is confirmed, by the boot id of the engine
 * @param answeredAgoMillis how many milliseconds before the notice each of these engines last answered the sender, by
 *     boot id; not for engines that never did
 * @param placements the prompts that engines were assigned or have processed since the previous notice
 * @param crashes crashes that the receiver may not learn from the log in time
 */
public record WorkNotice(
        String instance,
        long incarnation,
        long sequence,
        Map<String, EngineWork> workByEngine,
        Map<String, Long> answeredAgoMillis,
        List<PromptPlacement> placements,
        List<Crash> crashes) {}
