package org.verbenatray.scheduling;

import java.util.Optional;
import org.verbenatray.placement.PromptShape;

/**
 * A prompt to be scheduled.
 *
 * @param prompt its size and blocks
 * @param targetMillis the latency up to which its first token is on time, in milliseconds
 * @param elapsedMillis the time since this attempt was received, in milliseconds
 * @param sinceFirstAttemptMillis the time between the caller's first attempt and this one, in milliseconds
 * @param timeoutMillis the time from receipt after which the caller gives up without a first event, in milliseconds
 * @param deferrable whether it may be deferred or refused; not if it was sent before or continues a stream
 * @param customer the name of the customer whose prompt it is; empty where callers are not told apart
 */
public record PromptRequest(
        PromptShape prompt,
        double targetMillis,
        double elapsedMillis,
        double sinceFirstAttemptMillis,
        double timeoutMillis,
        boolean deferrable,
        Optional<String> customer) {}
