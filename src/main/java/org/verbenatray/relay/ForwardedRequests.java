package org.verbenatray.relay;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HttpString;
import java.util.function.BooleanSupplier;

/**
 * The requests that other instances forward to this one because they reach no server. An instance that can't serve them
 * better declines them, with a header on which the sender tries another one. Used on one thread.
 */
final class ForwardedRequests {
    /** Set in a refusal of a request that another instance may serve. */
    static final HttpString DECLINED = new HttpString("Forward-Declined");

    /** The largest number of forwarded requests that are open at a time, as callers of this instance go first. */
    private static final int MAX_OPEN = 128;

    /** Whether this instance is stopping or is cut off itself. */
    private final BooleanSupplier cannotServe;

    private final UnsentResponses open = UnsentResponses.create();

    private ForwardedRequests(BooleanSupplier cannotServe) {
        this.cannotServe = cannotServe;
    }

    /** Returns an object without requests; the argument returns whether this instance can't serve them. */
    static ForwardedRequests create(BooleanSupplier cannotServe) {
        return new ForwardedRequests(cannotServe);
    }

    /** Returns whether the request of an exchange is accepted; it then counts as open until its response is written. */
    boolean accept(HttpServerExchange exchange) {
        if (open.count() >= MAX_OPEN || cannotServe.getAsBoolean()) {
            return false;
        }
        open.add(exchange);
        return true;
    }

    /** Returns whether the head is that of a refusal after which another instance may be asked. */
    static boolean isDeclined(ServerResponseHead head) {
        return head.status() == 503 && head.headers().containsKey(DECLINED.toString());
    }
}
