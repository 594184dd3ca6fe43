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

/** Client of the platform's log service over HTTP. */
public final class HttpLogService implements LogService {
    private static final long EXCHANGE_TIMEOUT_MILLIS = 5_000;

    private static final int MAX_PAGE_BYTES = 64 * 1024 * 1024;

    private final HttpTransport transport;

    private final String address;

    private HttpLogService(HttpTransport transport, String address) {
        this.transport = transport;
        this.address = address;
    }

    /** Returns a client of the platform at a base URI. */
    public static HttpLogService create(HttpTransport transport, String address) {
        return new HttpLogService(transport, address);
    }

    @Override
    public CompletableFuture<Long> append(List<LogRecord> records) {
        String body = RecordCodec.encode(new AppendRequest(records));
        return exchange(HttpCall.json("POST", address, "/log", body))
                .thenApply(response -> RecordCodec.decode(response.text(), AppendResponse.class)
                        .offset());
    }

    @Override
    public CompletableFuture<LogPage> read(long from, int limit) {
        return exchange(HttpCall.withoutBody("GET", address, "/log?from=" + from + "&limit=" + limit))
                .thenApply(response -> RecordCodec.decode(response.text(), LogPage.class));
    }

    /** Sends a call and maps every failure and status other than 200 to a {@link LogUnavailableException}. */
    private CompletableFuture<BufferedResponse> exchange(HttpCall call) {
        Deadline deadline = Deadline.afterMillis(transport.ticker().nanos(), EXCHANGE_TIMEOUT_MILLIS);
        return transport
                .call(call, transport.anyThread(), deadline, MAX_PAGE_BYTES)
                .handle((response, failure) -> {
                    if (failure != null) {
                        throw new CompletionException(unavailable(String.valueOf(failure.getMessage()), failure));
                    }
                    if (response.status() != 200) {
                        throw new CompletionException(unavailable("status " + response.status(), null));
                    }
                    return response;
                });
    }

    private LogUnavailableException unavailable(String found, Throwable cause) {
        return new LogUnavailableException(
                "the log service at " + address + " did not answer (" + found + "); check the platform", cause);
    }

    /**
     * Body of an append request on the wire.
     *
     * @param records the records to append
     */
    public record AppendRequest(List<LogRecord> records) {}

    /**
     * Body of the response to an append request on the wire.
     *
     * @param offset the offset of the first appended record
     */
    public record AppendResponse(long offset) {}
}
