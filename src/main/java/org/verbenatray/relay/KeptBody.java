package org.verbenatray.relay;

import io.undertow.server.HttpServerExchange;
import org.verbenatray.memory.MemoryAccount;

/**
 * The body of a request that was read whole. Its bytes stay in the account until the request has ended and its response
 * is written, since until then something may refer to them. Used on one thread.
 */
final class KeptBody {
    private final byte[] bytes;

    private final MemoryAccount.Share share;

    private boolean requestEnded;

    private boolean exchangeEnded;

    /** Creates a body that the request of the given exchange carries. */
    KeptBody(HttpServerExchange exchange, byte[] bytes, MemoryAccount.Share share) {
        this.bytes = bytes;
        this.share = share;
        ExchangeEnd.onEnd(exchange, () -> {
            exchangeEnded = true;
            closeIfEnded();
        });
    }

    /** Returns the bytes. */
    byte[] bytes() {
        return bytes;
    }

    /** Records that the request has ended, so that it is not sent to a server any more. */
    void requestEnded() {
        requestEnded = true;
        closeIfEnded();
    }

    private void closeIfEnded() {
        if (requestEnded && exchangeEnded) {
            share.close();
        }
    }
}
