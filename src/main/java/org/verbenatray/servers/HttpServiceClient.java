package org.verbenatray.servers;

import java.net.URI;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.xnio.XnioIoThread;

/**
 * Calls plain services over HTTP.
 *
 * <p>Each call carries a unique dispatch id. A response that echoes another id is rejected, since it belongs to another
 * call.
 */
public final class HttpServiceClient implements ServiceClient {
    private static final String DISPATCH_HEADER = "X-Dispatch-Id";

    private static final int MAX_RESPONSE_BYTES = 16 * 1024 * 1024;

    private final HttpTransport transport;

    private HttpServiceClient(HttpTransport transport) {
        this.transport = transport;
    }

    /** Returns a client that sends over the given transport. */
    public static HttpServiceClient create(HttpTransport transport) {
        return new HttpServiceClient(transport);
    }

    @Override
    public CompletableFuture<BufferedResponse> send(
            String address, ServiceRequest request, boolean newConnection, XnioIoThread thread) {
        String dispatch = UUID.randomUUID().toString();
        HttpCall pooled = HttpCall.create(
                request.method(), URI.create(address), request.path(), headers(request, dispatch), request.body());
        HttpCall call = newConnection ? pooled.onNewConnection() : pooled;
        return transport
                .call(call, thread, request.deadline(), MAX_RESPONSE_BYTES)
                .thenApply(response -> checkDispatch(response, dispatch));
    }

    /** Returns the headers of a call; the caller's own headers are not forwarded. */
    private static Map<String, String> headers(ServiceRequest request, String dispatch) {
        Map<String, String> headers = new HashMap<>();
        headers.put(DISPATCH_HEADER, dispatch);
        headers.put("X-Request-Id", request.requestId());
        headers.put("X-Customer", request.customer());
        if (!request.contentType().isEmpty()) {
            headers.put("Content-Type", request.contentType());
        }
        return headers;
    }

    /** Returns the response unless it belongs to another dispatch. */
    private static BufferedResponse checkDispatch(BufferedResponse response, String dispatch) {
        Optional<String> echoed = response.header("x-dispatch-id");
        if (echoed.isPresent() && !echoed.get().equals(dispatch)) {
            throw new CompletionException(ServerFailure.create(
                    ServerFailure.Kind.BAD_RESPONSE, "the response belongs to dispatch " + echoed.get()));
        }
        return response;
    }
}
