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
import org.verbenatray.web.StreamedReply;

/** Serves completion requests: receive, identify, parse, admit, choose, dispatch, relay. */
final class CompletionHandler implements HttpHandler {
    /** The logger. */
    private static final Logger log = System.getLogger(CompletionHandler.class.getName());

    /** The largest number of bytes that may wait for a slow caller. */
    private static final int MAX_PENDING_BYTES = 1024 * 1024;

    /** The steps from the received request to the parsed one. */
    private final Filter<CallerRequest, CompletionRequest> steps;

    /** Reads requests. */
    private final RequestReader reader;

    /** What the handlers share. */
    private final ServingParts parts;

    /** Creates a handler. */
    CompletionHandler(ServingParts parts, boolean chat) {
        this.parts = parts;
        this.reader =
                new RequestReader(parts.defaultTimeoutMillis(), parts.relay().ticker());
        this.steps = new IdentifyFilter(parts.configuration()).then(new CompletionFilter(parts.configuration(), chat));
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        CallerBodies.read(exchange, this::serve);
    }

    /** Serves one request. */
    private void serve(HttpServerExchange exchange, byte[] body) {
        try {
            CompletionRequest request = steps.apply(reader.read(exchange, body));
            parts.open().enter();
            new Call(exchange, request).admit();
        } catch (RefusalException e) {
            parts.relay().metrics().answered("completion", e.refusal().kind().name());
            RefusalReply.send(exchange, e.refusal());
        }
    }

    /** One request from its admission to its final answer. */
    private final class Call implements AnswerSink {
        /** The exchange. */
        private final HttpServerExchange exchange;

        /** The request. */
        private final CompletionRequest request;

        /** Keeps what happens for explanations. */
        private final Trace trace;

        /** Sends the answer. */
        private final AnswerSink answer;

        /** Relays the stream. */
        private final StreamRelay relay;

        /** When the first token came. */
        private long firstTokenNanos;

        /** The admission, empty before it is given. */
        private Optional<Admitted> admission = Optional.empty();

        /** Withdraws the request from the queue of admission. */
        private Cancellation waiting = () -> {};

        /** Whether the final answer was given. */
        private boolean over;

        /** Creates a call. */
        Call(HttpServerExchange exchange, CompletionRequest request) {
            this.exchange = exchange;
            this.request = request;
            this.trace = parts.explanations()
                    .begin(
                            request.requestId(),
                            request.customer(),
                            request.model(),
                            request.receivedNanos(),
                            parts.configuration().get().offset());
            this.relay = new StreamRelay(request, parts.relay(), this, trace, exchange.getIoThread());
            StreamedReply reply = StreamedReply.create(exchange, MAX_PENDING_BYTES, this::callerGone);
            this.answer =
                    request.streamed() ? new SseAnswer(request, exchange, reply) : new WholeAnswer(request, exchange);
        }

        /** Waits for the admission. */
        void admit() {
            CallerWatch.of(exchange.getConnection()).whenClosed(() -> later(this::callerGone));
            waiting = parts.admitter()
                    .admit(request, given -> later(() -> admitted(given)), refusal -> later(() -> fail(refusal)));
        }

        /** Runs an action on the thread of the request. */
        private void later(Runnable action) {
            exchange.getIoThread().execute(action);
        }

        /** Starts the relay. */
        private void admitted(Admitted given) {
            if (over) {
                given.ended(0);
                return;
            }
            trace.add(new Step.Admitted(trace.afterMillis()));
            admission = Optional.of(given);
            given.beginning();
            relay.start();
        }

        @Override
        public void tokens(List<String> tokens) {
            if (firstTokenNanos == 0) {
                firstTokenNanos = parts.relay().ticker().nanos();
            }
            answer.tokens(tokens);
        }

        @Override
        public void end(String finish, int outputTokens) {
            long now = parts.relay().ticker().nanos();
            if (outputTokens > 1) {
                parts.relay().metrics().betweenTokens((now - firstTokenNanos) / (outputTokens - 1.0));
            }
            trace.add(new Step.Ended("whole", Optional.empty(), outputTokens));
            finished("whole", outputTokens);
            answer.end(finish, outputTokens);
        }

        @Override
        public void fail(Refusal refusal) {
            if (over) {
                return;
            }
            trace.add(new Step.Ended(refusal.document().error().type(), Optional.of(refusal.message()), 0));
            finished(refusal.kind().name(), 0);
            answer.fail(refusal);
        }

        /** Stops the relay because the caller is gone. */
        private void callerGone() {
            if (!over) {
                waiting.cancel();
                relay.callerGone();
                trace.add(new Step.Ended("caller_gone", Optional.empty(), 0));
                finished("caller_gone", 0);
                exchange.endExchange();
            }
        }

        /** Counts the request out and logs its end. */
        private void finished(String result, int outputTokens) {
            over = true;
            parts.open().exit();
            admission.ifPresent(given -> given.ended(outputTokens));
            CallerWatch.of(exchange.getConnection()).whenClosed(() -> {});
            parts.relay().metrics().answered("completion", result);
            Event.named("completion_done")
                    .with("request", request.requestId())
                    .with("customer", request.customer())
                    .with("model", request.model())
                    .with("result", result)
                    .with("engine", relay.engine().orElse("-"))
                    .with("runs", relay.runs())
                    .with("prompt_tokens", request.promptTokens())
                    .with("output_tokens", outputTokens)
                    .with("millis", (parts.relay().ticker().nanos() - request.receivedNanos()) / 1_000_000)
                    .with("instance", parts.instance())
                    .with("failure_domain", parts.failureDomain())
                    .with("configuration", parts.configuration().get().offset())
                    .log(log, Level.INFO);
        }
    }
}
