package org.verbenatray.servers;

import java.net.URI;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.xnio.XnioIoThread;

/** Calls of plain services over HTTP; each carries a fresh dispatch id that the reply must not contradict. */
public final class HttpServiceClient implements ServiceClient {
    /** The header that carries the id of a dispatch. */
    private static final String DISPATCH_HEADER = "X-Dispatch-Id";

    /** The largest reply in bytes. */
    private static final int MAX_REPLY_BYTES = 16 * 1024 * 1024;

    /** The transport. */
    private final HttpTransport transport;

    /** Creates a client. */
    private HttpServiceClient(HttpTransport transport) {
        this.transport = transport;
    }

    /** Returns a client on a transport. */
    public static HttpServiceClient create(HttpTransport transport) {
        return new HttpServiceClient(transport);
    }

    @Override
    public CompletableFuture<HttpReply> send(
            String address, ServiceRequest request, boolean fresh, XnioIoThread thread) {
        String dispatch = UUID.randomUUID().toString();
        HttpCall pooled = HttpCall.create(
                request.method(), URI.create(address), request.path(), headers(request, dispatch), request.body());
        HttpCall call = fresh ? pooled.onFreshConnection() : pooled;
        return transport
                .call(call, thread, request.deadline(), MAX_REPLY_BYTES)
                .thenApply(reply -> checked(reply, dispatch));
    }

    /** Returns the headers of a call; those of the caller are not passed on. */
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

    /** Returns the reply unless it belongs to another dispatch. */
    private static HttpReply checked(HttpReply reply, String dispatch) {
        Optional<String> echoed = reply.header("x-dispatch-id");
        if (echoed.isPresent() && !echoed.get().equals(dispatch)) {
            throw new CompletionException(ServerFailure.create(
                    ServerFailure.Kind.WRONG_REPLY, "the reply belongs to dispatch " + echoed.get()));
        }
        return reply;
    }
}
