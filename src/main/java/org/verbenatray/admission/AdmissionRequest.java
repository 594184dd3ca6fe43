package org.verbenatray.admission;

import org.verbenatray.time.Deadline;

/**
 * What admission has to know of a request.
 *
 * @param customer the customer's name
 * @param model the model
 * @param priority the priority, larger is served first
 * @param promptTokens the length of the prompt in tokens
 * @param expectedOutputTokens the tokens it is expected to generate
 * @param deadline the time by which the whole answer has to be delivered
 */
public record AdmissionRequest(
        String customer, String model, int priority, int promptTokens, int expectedOutputTokens, Deadline deadline) {
    /** Returns the work of the request. */
    Work work() {
        return new Work(promptTokens, expectedOutputTokens);
    }
}
