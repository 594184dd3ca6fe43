package org.verbenatray.serving;

import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Supplier;
import org.verbenatray.configuration.ActiveConfiguration;
import org.verbenatray.configuration.FleetConfiguration.ModelSpec;

/** Parses the body of a completion request and checks that its model is configured. */
final class CompletionParser implements PipelineStep<CallerRequest, CompletionRequest> {
    private final Supplier<ActiveConfiguration> configuration;

    /** Whether the bodies are chat completions rather than text completions. */
    private final boolean chat;

    CompletionParser(Supplier<ActiveConfiguration> configuration, boolean chat) {
        this.configuration = configuration;
        this.chat = chat;
    }

    @Override
    public CompletionRequest apply(CallerRequest request) {
        CompletionBody body = CompletionBody.parse(request.body(), chat);
        ModelSpec model = configuration.get().fleet().models().get(body.model());
        if (model == null) {
            throw new RefusalException(Refusal.notRun(
                    RefusalKind.NOT_FOUND,
                    "the model " + body.model() + " is not configured; name one of those listed by /v1/models"));
        }
        return new CompletionRequest(
                request.requestId(),
                request.customer(),
                body.model(),
                body.promptText(chat),
                body.maxTokensOrDefault(),
                body.seed().orElseGet(() -> ThreadLocalRandom.current().nextLong(Long.MAX_VALUE)),
                body.stream().orElse(false),
                chat,
                Math.max(model.priority(), request.customerSpec().priority()),
                request.receivedNanos(),
                request.deadline());
    }
}
