package org.verbenatray.servers;

import java.util.concurrent.CompletableFuture;
import org.xnio.XnioIoThread;

/** The protocol towards backend servers of plain services. */
@FunctionalInterface
public interface ServiceClient {
    /**
     * Sends a call once and returns the whole reply.
     *
     * <p>Fails with a {@link ServerFailure}; only {@link ServerFailure.Kind#NOT_CONNECTED} means that nothing was sent.
     */
    CompletableFuture<HttpReply> send(String address, ServiceRequest request, boolean fresh, XnioIoThread thread);
}
