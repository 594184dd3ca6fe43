package org.verbenatray.scheduling;

import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.verbenatray.backends.PrefillWork;
import org.verbenatray.openwork.EngineWork;

/** What instances tell one another to place prompts together. */
sealed interface PlacementMessage {
    /** Returns the name of the sender. */
    String instance();

    /**
     * Asks a domain scheduler where to place a prompt.
     *
     * @param instance the name of the sender
     * @param ticket the number of the question, unique for the sender
     * @param service the name of the service
     * @param request the prompt
     * @param excluded the boot ids of the engines that are not to be used
     */
    record Question(String instance, long ticket, String service, PromptRequest request, Set<String> excluded)
            implements PlacementMessage {}

    /**
     * The answer to a question.
     *
     * @param instance the name of the sender
     * @param ticket the number of the question
     * @param boot the boot id of the engine; empty if the sender knows none
     * @param handover whether that engine hands the prompt over to another one
     * @param fetchFrom the boot id of the engine from which to fetch a cached prefix; empty to fetch nothing
     * @param cachedTokens the number of tokens that need no processing
     * @param work the work that remains
     * @param waitMillis the expected time for which the prompt waits, in milliseconds
     * @param firstTokenMillis the expected time to the first token, in milliseconds
     * @param retryAfterMillis when the caller should come back, in milliseconds; empty if the prompt is sent
     */
    record Answer(
            String instance,
            long ticket,
            Optional<String> boot,
            boolean handover,
            Optional<String> fetchFrom,
            int cachedTokens,
            PrefillWork work,
            double waitMillis,
            double firstTokenMillis,
            OptionalLong retryAfterMillis)
            implements PlacementMessage {
        /** Returns the answer of an instance that knows no engine. */
        static Answer none(String instance, long ticket) {
            return new Answer(
                    instance,
                    ticket,
                    Optional.empty(),
                    false,
                    Optional.empty(),
                    0,
                    PrefillWork.NONE,
                    0,
                    0,
                    OptionalLong.empty());
        }
    }

    /**
     * Tells what became of a prompt.
     *
     * @param instance the name of the sender
     * @param ticket the number of its question
     * @param outcome the outcome
     */
    record End(String instance, long ticket, PromptOutcome outcome) implements PlacementMessage {}

    /**
     * Tells another domain scheduler all work that the sender has placed, in parts that fit a datagram.
     *
     * @param instance the name of the sender
     * @param part distinguishes the parts; a later message replaces the same part of an earlier one
     * @param work the work by boot id of the engine
     */
    record Work(String instance, int part, Map<String, EngineWork> work) implements PlacementMessage {}
}
