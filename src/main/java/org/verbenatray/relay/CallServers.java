package org.verbenatray.relay;

import java.util.List;
import org.verbenatray.backends.Backend;

/** The servers of the service of one call, as far as they accept requests. Used on one thread. */
final class CallServers {
    private final RelayContext context;
    private final String service;

    private CallServers(RelayContext context, String service) {
        this.context = context;
        this.service = service;
    }

    /** Returns the servers of a service. */
    static CallServers of(RelayContext context, String service) {
        return new CallServers(context, service);
    }

    /** Returns the servers that accept a request now: they are not leaving, and their limits admit it. */
    List<Backend> usable() {
        return context.directory().usable(service).stream()
                .filter(this::withinLimit)
                .toList();
    }

    /** Returns whether there are servers that are not leaving, but none of them could be reached lately. */
    boolean noneReachable() {
        List<Backend> servers = context.directory().usable(service);
        return !servers.isEmpty() && servers.stream().allMatch(Backend::unreachable);
    }

    /** Returns whether its limit keeps requests from a server now. */
    boolean limitsReached() {
        return !context.directory().usable(service).stream().allMatch(this::withinLimit);
    }

    /** Returns after how many milliseconds a caller should come back that the limits keep from all servers. */
    long retryAfterMillis() {
        List<String> boots = context.directory().usable(service).stream()
                .filter(backend -> !withinLimit(backend))
                .map(backend -> backend.entry().bootId())
                .toList();
        return context.limits().retryAfterMillis(service, boots);
    }

    private boolean withinLimit(Backend backend) {
        return context.limits().admits(backend.entry().bootId());
    }
}
