package org.verbenatray.relay;

import java.util.Optional;
import org.verbenatray.catalog.Customer;
import org.verbenatray.catalog.Route;
import org.verbenatray.time.Deadline;

/**
 * A request with the route that it has matched.
 *
 * @param request the request
 * @param route the route
 * @param catalogVersion the version of the catalog that has the route
 * @param customer the customer whose key the request carried; empty where none is needed
 * @param deadline when the final response is due, by the route and by the caller
 * @param forwarded whether another instance, which reaches no server, received it from its caller and sent it here
 */
record MatchedRequest(
        RelayRequest request,
        Route route,
        long catalogVersion,
        Optional<Customer> customer,
        Deadline deadline,
        boolean forwarded) {
    /** Returns the request with its route; its deadline is the earlier one of the caller and the route. */
    static MatchedRequest of(
            RelayRequest request, Route route, long catalogVersion, Optional<Customer> customer, boolean forwarded) {
        Deadline byRoute = Deadline.afterMillis(request.receivedNanos(), route.timeoutMillis());
        Deadline deadline = request.deadline()
                .filter(byCaller -> byCaller.atNanos() - byRoute.atNanos() < 0)
                .orElse(byRoute);
        return new MatchedRequest(request, route, catalogVersion, customer, deadline, forwarded);
    }

    /** Returns the priority, zero being the highest: that of the customer, otherwise that of the route. */
    int priority() {
        return customer.map(Customer::priority)
                .flatMap(own -> own.isPresent() ? Optional.of(own.getAsInt()) : Optional.empty())
                .orElse(route.priority());
    }

    /** Returns the name of the service that serves the request. */
    String service() {
        return route.serviceFor(request.id().hashCode());
    }
}
