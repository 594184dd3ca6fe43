package org.verbenatray.servers;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.verbenatray.fleet.InstanceEntry;
import org.verbenatray.fleet.InstanceList;
import org.verbenatray.log.RecordCodec;
import org.verbenatray.time.Deadline;

/** The platform's instance list over HTTP and JSON. */
public final class HttpInstanceList implements InstanceList {
    /** The time one exchange may take in milliseconds. */
    private static final long EXCHANGE_MILLIS = 3_000;

    /** The largest list in bytes. */
    private static final int MAX_LIST_BYTES = 8 * 1024 * 1024;

    /** The transport. */
    private final HttpTransport transport;

    /** The base URI of the platform. */
    private final String address;

    /** Creates a client. */
    private HttpInstanceList(HttpTransport transport, String address) {
        this.transport = transport;
        this.address = address;
    }

    /** Returns a client of the platform at the given base URI. */
    public static HttpInstanceList create(HttpTransport transport, String address) {
        return new HttpInstanceList(transport, address);
    }

    @Override
    public CompletableFuture<List<InstanceEntry>> list() {
        Deadline deadline = Deadline.afterMillis(transport.ticker().nanos(), EXCHANGE_MILLIS);
        return transport
                .call(HttpCall.bare("GET", address, "/instances"), transport.anyThread(), deadline, MAX_LIST_BYTES)
                .thenApply(HttpInstanceList::instances);
    }

    /** Tells the platform that this instance lives or is leaving, with its process so that its end is noticed. */
    public CompletableFuture<Void> announce(InstanceEntry entry) {
        String path =
                "/instances/" + entry.name() + "?pid=" + ProcessHandle.current().pid();
        return send(HttpCall.json("PUT", address, path, RecordCodec.encode(entry)));
    }

    /** Tells the platform that this instance ends. */
    public CompletableFuture<Void> withdraw(InstanceEntry entry) {
        return send(HttpCall.bare("DELETE", address, "/instances/" + entry.name()));
    }

    /** Sends a call whose reply does not matter. */
    private CompletableFuture<Void> send(HttpCall call) {
        Deadline deadline = Deadline.afterMillis(transport.ticker().nanos(), EXCHANGE_MILLIS);
        return transport
                .call(call, transport.anyThread(), deadline, MAX_LIST_BYTES)
                .thenAccept(reply -> {});
    }

    /** Returns the instances of a reply. */
    private static List<InstanceEntry> instances(HttpReply reply) {
        if (reply.status() != 200) {
            throw new CompletionException(ServerFailure.create(
                    ServerFailure.Kind.REFUSED,
                    "the instance list answered with status " + reply.status() + "; check the platform"));
        }
        return RecordCodec.decode(reply.text(), Listing.class).instances();
    }

    /**
     * The body of the list.
     *
     * @param instances the instances
     */
    public record Listing(List<InstanceEntry> instances) {}
}
