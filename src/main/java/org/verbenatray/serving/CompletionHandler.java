package org.verbenatray.serving;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.List;
import java.util.Optional;
import org.verbenatray.explain.Step;
import org.verbenatray.explain.Trace;
import org.verbenatray.servers.Cancellation;
import org.verbenatray.telemetry.Event;
import org.verbenatray.web.StreamedResponse;

/**
 * Serves completion requests: authenticates the customer, parses and admits the request, and relays the response of an
 * engine.
 */
final class CompletionHandler implements HttpHandler {
    private static final Logger log = System.getLogger(CompletionHandler.class.getName());

    /**
     * The limit of unsent response bytes per request; a caller that reads so slowly that they exceed it is
     * disconnected.
     */
    private static final int MAX_PENDING_BYTES = 1024 * 1024;

    /** Authenticates and parses a request. */
    private final PipelineStep<CallerRequest, CompletionRequest> pipeline;

    private final RequestReader reader;
    private final ServingContext context;

    CompletionHandler(ServingContext context, boolean chat) {
        this.context = context;
        this.reader = new RequestReader(
                context.defaultTimeoutMillis(), context.relayContext().ticker());
        this.pipeline = new CustomerAuthenticator(context.configuration())
                .then(new CompletionParser(context.configuration(), chat));
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        CallerBodies.read(exchange, this::serve);
    }

    private void serve(HttpServerExchange exchange, byte[] body) {
        try {
            CompletionRequest request = pipeline.apply(reader.read(exchange, body));
            context.openRequests().add();
            new Call(exchange, request).admit();
        } catch (RefusalException e) {
            context.relayContext()
                    .metrics()
                    .recordResponse("completion", e.refusal().kind().name());
            RefusalResponses.send(exchange, e.refusal());
        }
    }

    /** One request, from its admission to the end of its response. Runs on the I/O thread of the exchange. */
    private final class Call implements ResponseSink {
        private final HttpServerExchange exchange;
        private final CompletionRequest request;

        /** Records the steps of the request for operators. */
        private final Trace trace;

        /** Sends the response in the requested format. */
        private final ResponseSink responseSink;

        private final StreamRelay relay;

        /** The time of the first token in nanoseconds of the ticker, zero before it. */
        private long firstTokenNanos;

        /** The admission, empty until it is granted. */
        private Optional<AdmissionHandle> admission = Optional.empty();

        /** Removes the request from the admission queue. */
        private Cancellation pendingAdmission = () -> {};

        /** Whether the response has ended or the caller has closed its connection; later events are ignored. */
        private boolean finished;

        Call(HttpServerExchange exchange, CompletionRequest request) {
            this.exchange = exchange;
            this.request = request;
            this.trace = context.explanations()
                    .startTrace(
                            request.requestId(),
                            request.customer(),
                            request.model(),
                            request.receivedNanos(),
                            context.configuration().get().offset());
            this.relay = new StreamRelay(request, context.relayContext(), this, trace, exchange.getIoThread());
            StreamedResponse response = StreamedResponse.create(exchange, MAX_PENDING_BYTES, this::onCallerClosed);
            this.responseSink = request.streamed()
                    ? new SseResponseSink(request, exchange, response)
                    : new JsonResponseSink(request, exchange);
        }

        /** Requests the admission; a closed connection cancels the request from now on. */
        void admit() {
            CallerCloseListener.of(exchange.getConnection()).setCloseAction(() -> runOnIoThread(this::onCallerClosed));
            pendingAdmission = context.admitter()
                    .admit(
                            request,
                            handle -> runOnIoThread(() -> onAdmitted(handle)),
                            refusal -> runOnIoThread(() -> onFailure(refusal)));
        }

        /** Runs an action on the I/O thread of the exchange. */
        private void runOnIoThread(Runnable action) {
            exchange.getIoThread().execute(action);
        }

        private void onAdmitted(AdmissionHandle handle) {
            if (finished) {
                handle.close(0);
                return;
            }
            trace.addStep(new Step.Admitted(trace.elapsedMillis()));
            admission = Optional.of(handle);
            handle.releaseProvisionalLoad();
            relay.start();
        }

        @Override
        public void onTokens(List<String> tokens) {
            if (firstTokenNanos == 0) {
                firstTokenNanos = context.relayContext().ticker().nanos();
            }
            responseSink.onTokens(tokens);
        }

        @Override
        public void onComplete(String finishReason, int outputTokens) {
            long now = context.relayContext().ticker().nanos();
            if (outputTokens > 1) {
                context.relayContext().metrics().recordBetweenTokens((now - firstTokenNanos) / (outputTokens - 1.0));
            }
            trace.addStep(new Step.Ended("whole", Optional.empty(), outputTokens));
            finish("whole", outputTokens);
            responseSink.onComplete(finishReason, outputTokens);
        }

        @Override
        public void onFailure(Refusal refusal) {
            if (finished) {
                return;
            }
            trace.addStep(new Step.Ended(refusal.document().error().type(), Optional.of(refusal.message()), 0));
            finish(refusal.kind().name(), 0);
            responseSink.onFailure(refusal);
        }

        /** Cancels the request because the caller closed its connection or reads too slowly. */
        private void onCallerClosed() {
            if (!finished) {
                pendingAdmission.cancel();
                relay.cancel();
                trace.addStep(new Step.Ended("caller_gone", Optional.empty(), 0));
                finish("caller_gone", 0);
                exchange.endExchange();
            }
        }

        /** Releases what the request holds, and counts and logs its end. */
        private void finish(String result, int outputTokens) {
            finished = true;
            context.openRequests().remove();
            admission.ifPresent(handle -> handle.close(outputTokens));
            CallerCloseListener.of(exchange.getConnection()).setCloseAction(() -> {});
            context.relayContext().metrics().recordResponse("completion", result);
            Event.named("completion_done")
                    .with("request", request.requestId())
                    .with("customer", request.customer())
                    .with("model", request.model())
                    .with("result", result)
                    .with("engine", relay.engine().orElse("-"))
                    .with("runs", relay.dispatchCount())
                    .with("prompt_tokens", request.promptTokens())
                    .with("output_tokens", outputTokens)
                    .with("millis", (context.relayContext().ticker().nanos() - request.receivedNanos()) / 1_000_000)
                    .with("instance", context.instance())
                    .with("failure_domain", context.failureDomain())
                    .with("configuration", context.configuration().get().offset())
                    .log(log, Level.INFO);
        }
    }
}
