package org.verbenatray.serving;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.verbenatray.configuration.FleetConfiguration.ServerSpec;
import org.verbenatray.log.RecordBody.CallAnswer;
import org.verbenatray.once.AtMostOnceExecutor;
import org.verbenatray.once.AtMostOnceRequest;
import org.verbenatray.once.CallKey;
import org.verbenatray.once.CallKeys;
import org.verbenatray.once.NotSentException;
import org.verbenatray.servers.BufferedResponse;
import org.verbenatray.servers.ServerFailure;
import org.verbenatray.servers.ServiceClient;
import org.xnio.XnioIoThread;

/**
 * Runs calls of plain services that must not be repeated: each is sent to a backend server at most once. Thread-safe.
 */
public final class AtMostOnceCalls {
    private final AtMostOnceExecutor executor;
    private final ServiceClient serviceClient;
    private final ServerChooser serverChooser;

    private AtMostOnceCalls(AtMostOnceExecutor executor, ServiceClient serviceClient, ServerChooser serverChooser) {
        this.executor = executor;
        this.serviceClient = serviceClient;
        this.serverChooser = serverChooser;
    }

    /** Returns an instance that sends the calls released by the given executor. */
    public static AtMostOnceCalls create(
            AtMostOnceExecutor executor, ServiceClient serviceClient, ServerChooser serverChooser) {
        return new AtMostOnceCalls(executor, serviceClient, serverChooser);
    }

    /**
     * Runs a call, or returns the outcome of an earlier call with the same idempotency key. Throws a {@link
     * RefusalException} if the key is unusable.
     *
     * @param onSent receives the name of each backend server to which the call is handed, on any thread
     */
    CompletableFuture<AtMostOnceResponse> run(ServiceCall call, Consumer<String> onSent, XnioIoThread thread) {
        Optional<CallKey> key = call.idempotencyKey().map(text -> key(call, text));
        String bodyHash = CallKeys.bodyHash(
                call.service(),
                call.request().method(),
                call.request().path(),
                call.request().body());
        AtMostOnceRequest request =
                new AtMostOnceRequest(key, bodyHash, call.request().deadline());
        AtomicReference<BufferedResponse> ownResponse = new AtomicReference<>();
        return executor.execute(request, () -> send(call, onSent, ownResponse::set, thread, new HashSet<>()))
                .thenApply(result -> new AtMostOnceResponse(result, Optional.ofNullable(ownResponse.get())));
    }

    private static CallKey key(ServiceCall call, String text) {
        return CallKeys.derive(call.request().customer(), call.service(), text)
                .orElseThrow(() -> new RefusalException(Refusal.notRun(
                        RefusalKind.BAD_REQUEST,
                        "the header " + ServiceCallParser.IDEMPOTENCY_KEY_HEADER + " is not usable; give a UUIDv7")));
    }

    /**
     * Sends a call to the first server that accepts a connection; after a connection was made, there is no second
     * attempt.
     */
    private CompletableFuture<CallAnswer> send(
            ServiceCall call,
            Consumer<String> onSent,
            Consumer<BufferedResponse> onResponse,
            XnioIoThread thread,
            Set<String> excludedServers) {
        Optional<ServerSpec> chosen = serverChooser.choose(call.spec(), excludedServers);
        if (chosen.isEmpty()) {
            return CompletableFuture.failedFuture(
                    new NotSentException("no backend server of " + call.service() + " takes connections", null));
        }
        ServerSpec server = chosen.get();
        onSent.accept(server.name());
        return serviceClient
                .send(server.address(), call.request(), true, thread)
                .thenApply(response -> {
                    onResponse.accept(response);
                    return answer(response);
                })
                .exceptionallyCompose(problem -> {
                    serverChooser.recordFailure(server);
                    if (!nothingSent(problem)) {
                        return CompletableFuture.failedFuture(problem);
                    }
                    excludedServers.add(server.name());
                    return send(call, onSent, onResponse, thread, excludedServers);
                });
    }

    /** Returns whether a failure proves that no byte was sent. */
    private static boolean nothingSent(Throwable problem) {
        Throwable cause = problem instanceof CompletionException ? problem.getCause() : problem;
        return cause instanceof ServerFailure failure && failure.kind() == ServerFailure.Kind.NOT_CONNECTED;
    }

    /** Returns the answer to store for repeats; a body that is not valid UTF-8 is left out. */
    private static CallAnswer answer(BufferedResponse response) {
        String type = response.header("content-type").orElse("application/octet-stream");
        return new CallAnswer(response.status(), type, decodeUtf8(response.body()));
    }

    /** Returns the text of a body, empty if it is not valid UTF-8. */
    private static Optional<String> decodeUtf8(byte[] body) {
        try {
            return Optional.of(StandardCharsets.UTF_8
                    .newDecoder()
                    .decode(ByteBuffer.wrap(body))
                    .toString());
        } catch (CharacterCodingException e) {
            return Optional.empty();
        }
    }
}
