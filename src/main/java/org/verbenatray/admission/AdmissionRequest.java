package org.verbenatray.admission;

import org.verbenatray.time.Deadline;

/**
 * The properties of a request on which admission depends.
 *
 * @param customer the customer's name
 * @param model the model's name
 * @param priority the priority; larger values are served first
 * @param promptTokens the length of the prompt in tokens
 * @param expectedOutputTokens the expected length of the output in tokens
 * @param deadline the time by which the complete response must be delivered
 */
public record AdmissionRequest(
        String customer, String model, int priority, int promptTokens, int expectedOutputTokens, Deadline deadline) {
    /** Returns the prompt and expected output tokens of the request. */
    Work work() {
        return new Work(promptTokens, expectedOutputTokens);
    }
}
