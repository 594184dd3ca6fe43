package org.verbenatray.servers;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.verbenatray.log.LogPage;
import org.verbenatray.log.LogRecord;
import org.verbenatray.log.LogService;
import org.verbenatray.log.LogUnavailableException;
import org.verbenatray.log.RecordCodec;
import org.verbenatray.time.Deadline;

/** The platform's log service over HTTP and JSON. */
public final class HttpLogService implements LogService {
    /** The time one exchange may take in milliseconds. */
    private static final long EXCHANGE_MILLIS = 5_000;

    /** The largest page in bytes. */
    private static final int MAX_PAGE_BYTES = 64 * 1024 * 1024;

    /** The transport. */
    private final HttpTransport transport;

    /** The base URI of the platform. */
    private final String address;

    /** Creates a client. */
    private HttpLogService(HttpTransport transport, String address) {
        this.transport = transport;
        this.address = address;
    }

    /** Returns a client of the platform at the given base URI. */
    public static HttpLogService create(HttpTransport transport, String address) {
        return new HttpLogService(transport, address);
    }

    @Override
    public CompletableFuture<Long> append(List<LogRecord> records) {
        String body = RecordCodec.encode(new AppendRequest(records));
        return exchange(HttpCall.json("POST", address, "/log", body))
                .thenApply(reply ->
                        RecordCodec.decode(reply.text(), AppendReply.class).offset());
    }

    @Override
    public CompletableFuture<LogPage> read(long from, int limit) {
        return exchange(HttpCall.bare("GET", address, "/log?from=" + from + "&limit=" + limit))
                .thenApply(reply -> RecordCodec.decode(reply.text(), LogPage.class));
    }

    /** Sends a call and turns every failure into one of the log service. */
    private CompletableFuture<HttpReply> exchange(HttpCall call) {
        Deadline deadline = Deadline.afterMillis(transport.ticker().nanos(), EXCHANGE_MILLIS);
        return transport
                .call(call, transport.anyThread(), deadline, MAX_PAGE_BYTES)
                .handle((reply, failure) -> {
                    if (failure != null) {
                        throw new CompletionException(unavailable(String.valueOf(failure.getMessage()), failure));
                    }
                    if (reply.status() != 200) {
                        throw new CompletionException(unavailable("status " + reply.status(), null));
                    }
                    return reply;
                });
    }

    /** Returns the failure with its remedy. */
    private LogUnavailableException unavailable(String found, Throwable cause) {
        return new LogUnavailableException(
                "the log service at " + address + " did not answer (" + found + "); check the platform", cause);
    }

    /**
     * The body of an append.
     *
     * @param records the records
     */
    public record AppendRequest(List<LogRecord> records) {}

    /**
     * The reply to an append.
     *
     * @param offset the offset of the first record
     */
    public record AppendReply(long offset) {}
}
