package org.verbenatray.serving;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HttpString;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.HashSet;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletionException;
import org.verbenatray.configuration.FleetConfiguration.ServerSpec;
import org.verbenatray.explain.Step;
import org.verbenatray.explain.Trace;
import org.verbenatray.once.AtMostOnceResult;
import org.verbenatray.servers.BufferedResponse;
import org.verbenatray.servers.ServerFailure;
import org.verbenatray.telemetry.Event;
import org.verbenatray.web.Responses;

/**
 * Serves calls of plain services. A call that may be repeated is retried on other servers after a failure; any other
 * call is sent at most once.
 */
final class ServiceHandler implements HttpHandler {
    private static final Logger log = System.getLogger(ServiceHandler.class.getName());

    /** The response header that names the backend server that sent the response. */
    private static final HttpString SERVER_HEADER = new HttpString("X-Backend-Server");

    /** The maximum number of servers to which a repeatable call is sent. */
    private static final int MAX_ATTEMPTS = 3;

    /** The retry delay sent to callers after a failure, in milliseconds. */
    private static final long RETRY_MILLIS = 2_000;

    private final ServingContext context;
    private final RequestReader reader;
    private final CustomerAuthenticator authenticator;
    private final ServiceCallParser callParser;

    ServiceHandler(ServingContext context) {
        this.context = context;
        this.reader = new RequestReader(
                context.defaultTimeoutMillis(), context.relayContext().ticker());
        this.authenticator = new CustomerAuthenticator(context.configuration());
        this.callParser = new ServiceCallParser(context.configuration());
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        CallerBodies.read(exchange, this::serve);
    }

    private void serve(HttpServerExchange exchange, byte[] body) {
        try {
            CallerRequest request = authenticator.apply(reader.read(exchange, body));
            ServiceCall call = callParser.parse(exchange, request);
            context.openRequests().add();
            Call open = new Call(exchange, call, request.receivedNanos());
            if (call.call().repeatable()) {
                open.send();
            } else {
                open.runOnce();
            }
        } catch (RefusalException e) {
            context.relayContext()
                    .metrics()
                    .recordResponse("service", e.refusal().kind().name());
            RefusalResponses.send(exchange, e.refusal());
        }
    }

    /** One validated call, up to the end of its response. Runs on the I/O thread of the exchange. */
    private final class Call {
        private final HttpServerExchange exchange;
        private final ServiceCall call;

        /** Records the steps of the call for operators. */
        private final Trace trace;

        /** The names of the servers that failed for this call and are not tried again. */
        private final Set<String> failedServers = new HashSet<>();

        /** Whether a backend server may have run the call. */
        private boolean mayHaveRun;

        Call(HttpServerExchange exchange, ServiceCall call, long receivedNanos) {
            this.exchange = exchange;
            this.call = call;
            this.trace = context.explanations()
                    .startTrace(
                            call.request().requestId(),
                            call.request().customer(),
                            call.service() + " " + call.request().method() + " "
                                    + call.call().path(),
                            receivedNanos,
                            context.configuration().get().offset());
        }

        /** Runs a call that must not be repeated. */
        void runOnce() {
            trace.addStep(new Step.Reserving(call.idempotencyKey().isPresent()));
            try {
                context.atMostOnceCalls()
                        .run(call, server -> trace.addStep(new Step.Sent(server)), exchange.getIoThread())
                        .thenAccept(response -> exchange.getIoThread().execute(() -> {
                            trace.addStep(endStep(response.result()));
                            finish(response.result().kind().name().toLowerCase(Locale.ROOT), "-");
                            AtMostOnceResponses.send(exchange, response);
                        }));
            } catch (RefusalException e) {
                endWithRefusal(e.refusal());
            }
        }

        /** Sends a repeatable call to the best server. */
        void send() {
            Optional<ServerSpec> chosen = context.serverChooser().choose(call.spec(), failedServers);
            if (chosen.isEmpty()) {
                endWithRefusal(noServerRefusal());
                return;
            }
            ServerSpec server = chosen.get();
            trace.addStep(new Step.Sent(server.name()));
            context.serviceClient()
                    .send(server.address(), call.request(), false, exchange.getIoThread())
                    .whenComplete((response, failure) ->
                            exchange.getIoThread().execute(() -> onResponse(server, response, failure)));
        }

        /**
         * Sends the response of a server to the caller. After a failure other than a timeout, retries on another
         * server.
         */
        private void onResponse(ServerSpec server, BufferedResponse response, Throwable problem) {
            if (problem == null) {
                trace.addStep(new Step.Ended("answered", Optional.empty(), 0));
                finish("answered", server.name());
                exchange.getResponseHeaders().put(SERVER_HEADER, server.name());
                String type = response.header("content-type").orElse("application/octet-stream");
                Responses.sendBytes(exchange, response.status(), type, response.body());
                return;
            }
            ServerFailure failure = failureOf(problem);
            trace.addStep(new Step.ServerFailed(server.name(), failure.getMessage()));
            context.serverChooser().recordFailure(server);
            failedServers.add(server.name());
            boolean nothingSent = failure.kind() == ServerFailure.Kind.NOT_CONNECTED;
            mayHaveRun = mayHaveRun || !nothingSent;
            if (failedServers.size() < MAX_ATTEMPTS && failure.kind() != ServerFailure.Kind.TIMED_OUT) {
                send();
                return;
            }
            endWithRefusal(serverFailedRefusal(failure));
        }

        /** Returns the server failure that caused an exception. */
        private static ServerFailure failureOf(Throwable problem) {
            Throwable cause = problem instanceof CompletionException ? problem.getCause() : problem;
            return cause instanceof ServerFailure failure
                    ? failure
                    : ServerFailure.create(ServerFailure.Kind.BROKEN, String.valueOf(cause), cause);
        }

        /** Returns the trace step for the result of a call that runs at most once. */
        private static Step endStep(AtMostOnceResult result) {
            String kind = result.kind().name().toLowerCase(Locale.ROOT);
            return new Step.Ended(kind, Optional.of(result.reason()), 0);
        }

        /** Returns the refusal when no server is available. */
        private Refusal noServerRefusal() {
            String message = "no backend server of " + call.service() + " can take the call; send it again later";
            return mayHaveRun
                    ? Refusal.mayHaveRun(RefusalKind.NO_SERVER, message, Optional.of(RETRY_MILLIS))
                    : Refusal.retryLater(RefusalKind.NO_SERVER, message, RETRY_MILLIS);
        }

        /** Returns the refusal after the last attempt failed. */
        private Refusal serverFailedRefusal(ServerFailure failure) {
            String message = "the backend server failed (" + failure.getMessage() + ")";
            if (!mayHaveRun) {
                return Refusal.retryLater(
                        RefusalKind.NO_SERVER, message + "; nothing was sent, send it again", RETRY_MILLIS);
            }
            return Refusal.mayHaveRun(
                    RefusalKind.SERVER_FAILED, message + "; send it again", Optional.of(RETRY_MILLIS));
        }

        /** Ends the call with a refusal. */
        private void endWithRefusal(Refusal refusal) {
            trace.addStep(new Step.Ended(refusal.document().error().type(), Optional.of(refusal.message()), 0));
            finish(refusal.kind().name(), "-");
            RefusalResponses.send(exchange, refusal);
        }

        /** Removes the call from the open requests, and counts and logs its end. */
        private void finish(String result, String server) {
            context.openRequests().remove();
            context.relayContext().metrics().recordResponse("service", result);
            Event.named("service_call_done")
                    .with("request", call.request().requestId())
                    .with("customer", call.request().customer())
                    .with("service", call.service())
                    .with("method", call.request().method())
                    .with("path", call.call().path())
                    .with("result", result)
                    .with("server", server)
                    .with("instance", context.instance())
                    .with("failure_domain", context.failureDomain())
                    .with("configuration", context.configuration().get().offset())
                    .log(log, Level.INFO);
        }
    }
}
