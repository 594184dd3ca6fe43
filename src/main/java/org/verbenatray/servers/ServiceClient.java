package org.verbenatray.servers;

import java.util.concurrent.CompletableFuture;
import org.xnio.XnioIoThread;

/** Client of backend servers of plain services. */
@FunctionalInterface
public interface ServiceClient {
    /**
     * Sends a call once and returns the complete response.
     *
     * <p>The future fails with a {@link ServerFailure}; only {@link ServerFailure.Kind#NOT_CONNECTED} guarantees that
     * nothing was sent.
     *
     * @param newConnection whether to use a new connection instead of a pooled one
     */
    CompletableFuture<BufferedResponse> send(
            String address, ServiceRequest request, boolean newConnection, XnioIoThread thread);
}
