package org.verbenatray.usage;

import java.util.Map;

/**
 * The counts of one instance, sent to the instances that may have to report them. They are totals, so that a later
 * notice makes up for a lost one.
 *
 * @param instance the name of the sender
 * @param incarnation a number that differs with each start of the sender's process
 * @param untilMillis the true time up to which the counts are complete, in milliseconds since 1970
 * @param asksForCounts whether the sender holds the duty and wants the counts of the receiver
 * @param countsByWindow the counts by window and customer
 * @param clockCorrectionMillis what the receiver has to add to its time, as the sender finds; zero for nothing
 */
public record UsageNotice(
        String instance,
        long incarnation,
        long untilMillis,
        boolean asksForCounts,
        Map<Long, Map<String, Integer>> countsByWindow,
        long clockCorrectionMillis) {}
