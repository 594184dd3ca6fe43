package org.verbenatray.standin;

import io.undertow.server.HttpServerExchange;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.verbenatray.log.RecordCodec;
import org.verbenatray.servers.EngineChunk;
import org.verbenatray.web.StreamedResponse;
import org.xnio.IoUtils;

/**
 * The streamed NDJSON response of a stand-in engine for one dispatch. Called on the engine's thread; writes are passed
 * to the I/O thread of the exchange.
 */
final class EngineStreamResponse {
    /** The maximum number of bytes buffered for a slow client. */
    private static final int MAX_PENDING_BYTES = 16 * 1024 * 1024;

    private final HttpServerExchange exchange;

    private final StreamedResponse response;

    /** Returns the faults to inject, read anew for each line. */
    private final Supplier<EngineFaults> faults;

    /** Returns whether this response sends nothing any more while its connection stays open. */
    private final BooleanSupplier silenced;

    private final LineFaults lineFaults = new LineFaults();

    EngineStreamResponse(HttpServerExchange exchange, Supplier<EngineFaults> faults, BooleanSupplier silenced) {
        this.silenced = silenced;
        this.exchange = exchange;
        this.faults = faults;
        this.response = StreamedResponse.create(exchange, MAX_PENDING_BYTES, () -> {});
        exchange.getIoThread().execute(() -> response.start("application/x-ndjson"));
    }

    /** Sends a line with one token. */
    void sendToken(String dispatch, int offset, String text) {
        send(EngineChunk.tokens(dispatch, offset, List.of(text)));
    }

    /** Sends the final line with the total token count and ends the response. */
    void sendEnd(String dispatch, int total) {
        send(EngineChunk.end(dispatch, total, "length"));
        endUnlessSilent();
    }

    /** Sends the exported KV cache as the final line and ends the response. */
    void sendKvExport(String dispatch, int next, String kv) {
        send(EngineChunk.exported(dispatch, next, kv));
        endUnlessSilent();
    }

    /** Closes the connection without a final line. */
    void closeConnection() {
        exchange.getIoThread().execute(() -> IoUtils.safeClose(exchange.getConnection()));
    }

    /** Ends the response unless it has gone silent. */
    private void endUnlessSilent() {
        if (!silenced.getAsBoolean()) {
            exchange.getIoThread().execute(response::end);
        }
    }

    /** Sends a line after applying the faults. */
    private void send(EngineChunk chunk) {
        EngineFaults currentFaults = faults.get();
        if (silenced.getAsBoolean()) {
            return;
        }
        List<EngineChunk> lines = lineFaults.apply(chunk, currentFaults);
        boolean cut = lineFaults.closesConnection(currentFaults);
        exchange.getIoThread().execute(() -> {
            lines.forEach(line -> response.write((RecordCodec.encode(line) + "\n").getBytes(StandardCharsets.UTF_8)));
            if (cut) {
                response.abort();
            }
        });
    }
}
