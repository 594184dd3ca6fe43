package org.verbenatray.relay;

import java.util.Optional;
import org.verbenatray.catalog.Catalog;
import org.verbenatray.catalog.CurrentCatalog;
import org.verbenatray.catalog.Customer;
import org.verbenatray.catalog.Route;

/**
 * Finds the route of a request and the customer that holds its key, in the catalog that is in force. Used on one
 * thread.
 */
final class RequestMatcher {
    /** Retry-after time of a request with an unknown key while this instance may lack newer keys. */
    private static final long UNCONFIRMED_RETRY_AFTER_MILLIS = 500;

    private final CurrentCatalog current;

    private final RelayDialect dialect;

    private RequestMatcher(CurrentCatalog current, RelayDialect dialect) {
        this.current = current;
        this.dialect = dialect;
    }

    /** Returns a matcher for the catalog in force. */
    static RequestMatcher create(CurrentCatalog current, RelayDialect dialect) {
        return new RequestMatcher(current, dialect);
    }

    /**
     * Matches a request; a catalog must be in force.
     *
     * @param forwarded whether another instance forwards the request
     * @param waited whether the request has waited for news of the catalog, so that an unknown key is refused
     */
    Match match(RelayRequest request, boolean forwarded, boolean waited) {
        Catalog catalog = current.get().orElseThrow();
        Optional<Route> route = catalog.match(request.host(), request.path());
        if (route.isEmpty()) {
            return new Refused(404, "no route of version " + catalog.version() + " matches this host and path", 0);
        }
        if (!catalog.customers().required()) {
            return matched(request, route.get(), catalog, Optional.empty(), forwarded);
        }
        Optional<Customer> customer = request.apiKey().flatMap(catalog.customers()::holderOf);
        if (customer.isEmpty() && !route.get().openToAll()) {
            return unknownKey(catalog, waited);
        }
        return matched(dialect.identified(request, customer), route.get(), catalog, customer, forwarded);
    }

    private static Match matched(
            RelayRequest request, Route route, Catalog catalog, Optional<Customer> customer, boolean forwarded) {
        return new Matched(MatchedRequest.of(request, route, catalog.version(), customer, forwarded));
    }

    /** Refuses a key that no customer holds, unless it may have been added a moment ago. */
    private Match unknownKey(Catalog catalog, boolean waited) {
        if (!waited) {
            return new AwaitsNews();
        }
        if (!current.confirmed()) {
            return new Refused(503, "the keys may have changed; retry", UNCONFIRMED_RETRY_AFTER_MILLIS);
        }
        return new Refused(401, "no customer of version " + catalog.version() + " holds this key; check it", 0);
    }

    /** The result of matching a request. */
    sealed interface Match {}

    /** The request is relayed. */
    record Matched(MatchedRequest request) implements Match {}

    /**
     * The request is refused.
     *
     * @param status the HTTP status
     * @param reason what the caller is told
     * @param retryAfterMillis when the caller should come back, in milliseconds; zero if it should not
     */
    record Refused(int status, String reason, long retryAfterMillis) implements Match {}

    /** The request should be matched again once news of a catalog that was just written would have arrived. */
    record AwaitsNews() implements Match {}
}
