package org.verbenatray.explain;

import java.time.Instant;
import java.util.List;
import org.verbenatray.telemetry.Event;

/**
 * The processing history of one request, as shown to operators.
 *
 * @param request the id of the request
 * @param instance the instance that served it
 * @param failureDomain the failure domain of the instance
 * @param customer the customer
 * @param subject the model, or the service with the method and path of the call
 * @param receivedMillis the time of receipt in milliseconds since the epoch
 * @param configuration the log offset of the configuration in force at the time of receipt
 * @param steps the steps in the order of their occurrence
 * @param omittedSteps the number of steps left out because the trace was full
 */
public record Explanation(
        String request,
        String instance,
        String failureDomain,
        String customer,
        String subject,
        long receivedMillis,
        long configuration,
        List<TimedStep> steps,
        int omittedSteps) {
    /** Returns one line of key=value pairs for the receipt and one for each step. */
    public List<String> lines() {
        Event head = Event.named("received")
                .with("request", request)
                .with("at", Instant.ofEpochMilli(receivedMillis))
                .with("customer", customer)
                .with("subject", subject)
                .with("instance", instance)
                .with("failure_domain", failureDomain)
                .with("configuration", configuration)
                .with("omitted_steps", omittedSteps);
        return java.util.stream.Stream.concat(
                        java.util.stream.Stream.of(head.toString()),
                        steps.stream()
                                .map(step -> step.step()
                                        .event()
                                        .with("request", request)
                                        .with("after_ms", step.afterMillis())
                                        .toString()))
                .toList();
    }

    /**
     * A step with its time of occurrence.
     *
     * @param afterMillis the time since the receipt of the request in milliseconds
     * @param step the step
     */
    public record TimedStep(long afterMillis, Step step) {}
}
