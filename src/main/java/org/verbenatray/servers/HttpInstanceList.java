package org.verbenatray.servers;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.verbenatray.fleet.InstanceEntry;
import org.verbenatray.fleet.InstanceList;
import org.verbenatray.log.RecordCodec;
import org.verbenatray.time.Deadline;

/** Client of the platform's instance list over HTTP. */
public final class HttpInstanceList implements InstanceList {
    private static final long EXCHANGE_TIMEOUT_MILLIS = 3_000;

    private static final int MAX_LIST_BYTES = 8 * 1024 * 1024;

    private final HttpTransport transport;

    private final String address;

    private HttpInstanceList(HttpTransport transport, String address) {
        this.transport = transport;
        this.address = address;
    }

    /** Returns a client of the platform at a base URI. */
    public static HttpInstanceList create(HttpTransport transport, String address) {
        return new HttpInstanceList(transport, address);
    }

    @Override
    public CompletableFuture<List<InstanceEntry>> list() {
        Deadline deadline = Deadline.afterMillis(transport.ticker().nanos(), EXCHANGE_TIMEOUT_MILLIS);
        return transport
                .call(
                        HttpCall.withoutBody("GET", address, "/instances"),
                        transport.anyThread(),
                        deadline,
                        MAX_LIST_BYTES)
                .thenApply(HttpInstanceList::instances);
    }

    /**
     * Registers this instance or renews its entry, which states whether it is leaving. Includes the process id, so that
     * the platform notices when the process ends.
     */
    public CompletableFuture<Void> announce(InstanceEntry entry) {
        String path =
                "/instances/" + entry.name() + "?pid=" + ProcessHandle.current().pid();
        return send(HttpCall.json("PUT", address, path, RecordCodec.encode(entry)));
    }

    /** Removes this instance from the list. */
    public CompletableFuture<Void> withdraw(InstanceEntry entry) {
        return send(HttpCall.withoutBody("DELETE", address, "/instances/" + entry.name()));
    }

    /** Sends a call and ignores the response. */
    private CompletableFuture<Void> send(HttpCall call) {
        Deadline deadline = Deadline.afterMillis(transport.ticker().nanos(), EXCHANGE_TIMEOUT_MILLIS);
        return transport
                .call(call, transport.anyThread(), deadline, MAX_LIST_BYTES)
                .thenAccept(response -> {});
    }

    /** Returns the instances in a response. */
    private static List<InstanceEntry> instances(BufferedResponse response) {
        if (response.status() != 200) {
            throw new CompletionException(ServerFailure.create(
                    ServerFailure.Kind.REFUSED,
                    "the instance list responded with status " + response.status() + "; check the platform"));
        }
        return RecordCodec.decode(response.text(), Listing.class).instances();
    }

    /**
     * Body of the instance list on the wire.
     *
     * @param instances the instances
     */
    public record Listing(List<InstanceEntry> instances) {}
}
