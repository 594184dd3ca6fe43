package org.verbenatray.continuation;

import java.net.InetSocketAddress;

/** A datagram about the origin of a stream. */
sealed interface OriginMessage {
    /** Returns the id of the attempt that brought the first event of the stream. */
    String requestId();

    /**
     * Tells a home of a stream its origin, or answers a question with it.
     *
     * @param origin the origin
     */
    record Told(StreamOrigin origin) implements OriginMessage {
        @Override
        public String requestId() {
            return origin.requestId();
        }
    }

    /**
     * Asks for the origin of a stream.
     *
     * @param requestId the id of the attempt that brought the first event
     * @param service the service of the stream
     * @param replyTo where the answer is sent
     */
    record Asked(String requestId, String service, InetSocketAddress replyTo) implements OriginMessage {}

    /**
     * Answers that the origin is not known.
     *
     * @param requestId the id of the attempt that brought the first event
     * @param soleVersion the only version that the service has run recently; empty if that is not known
     * @param from the address of the instance that answers
     */
    record Unknown(String requestId, String soleVersion, InetSocketAddress from) implements OriginMessage {}
}
