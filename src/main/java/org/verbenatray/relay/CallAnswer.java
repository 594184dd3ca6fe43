package org.verbenatray.relay;

import java.nio.charset.StandardCharsets;
import java.util.Optional;

/** Writes what a caller gets: a response of a server or of another instance, or one of this instance. */
final class CallAnswer {
    private final String requestId;

    private final CallerResponse response;

    private final OwnResponseHeaders ownHeaders;

    private final CallRecord record;

    private CallAnswer(String requestId, CallerResponse response, OwnResponseHeaders ownHeaders, CallRecord record) {
        this.requestId = requestId;
        this.response = response;
        this.ownHeaders = ownHeaders;
        this.record = record;
    }

    /** Returns the answer to the request with the given id, of which nothing is written. */
    static CallAnswer of(String requestId, CallerResponse response, OwnResponseHeaders ownHeaders, CallRecord record) {
        return new CallAnswer(requestId, response, ownHeaders, record);
    }

    /** Relays a complete response. */
    void relay(ServerResponseHead head, byte[] body) {
        record.addFirstByte();
        response.send(head.status(), ownHeaders.withConnection(head.headers()), body);
    }

    /** Relays the next event of a stream. */
    void relayEvent(ServerResponseHead head, StreamEvent event) {
        if (!response.started()) {
            record.addFirstByte();
        }
        startStream(head);
        response.write(event.bytes());
    }

    /** Ends a stream as complete. */
    void endStream(ServerResponseHead head) {
        startStream(head);
        response.endStream();
    }

    /** Sends a response of this instance. */
    void sendOwn(int status, String outcome, Optional<Long> retryAfterMillis) {
        byte[] body = (outcome + "\n").getBytes(StandardCharsets.US_ASCII);
        response.send(status, ownHeaders.ownResponse(requestId, retryAfterMillis), body);
    }

    private void startStream(ServerResponseHead head) {
        if (!response.started()) {
            response.startStream(head.status(), ownHeaders.withConnection(head.headers()));
        }
    }
}
