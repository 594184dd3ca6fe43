package org.verbenatray.relay;

import java.util.List;
import java.util.OptionalLong;
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

    /**
     * Returns the servers that accept a request now: they are not leaving, and no limit or pause forbids it. Those
     * whose pace is still being found are left to other instances, unless there is no other server.
     */
    List<Backend> usable() {
        List<Backend> accepting = context.directory().usable(service).stream()
                .filter(this::withinLimit)
                .toList();
        List<Backend> paced = accepting.stream().filter(context.pace()::admits).toList();
        return paced.isEmpty() ? accepting : paced;
    }

    /** Returns whether a server is listed and not leaving, whether or not it accepts requests now. */
    boolean lists(Backend server) {
        return context.directory().usable(service).contains(server);
    }

    /** Returns whether there are servers that are not leaving, but none of them could be reached lately. */
    boolean noneReachable() {
        List<Backend> servers = context.directory().usable(service);
        return !servers.isEmpty() && servers.stream().allMatch(Backend::unreachable);
    }

    /** Returns whether its limit, or a pause that it has asked for, keeps requests from a server now. */
    boolean limitsReached() {
        return !context.directory().usable(service).stream().allMatch(this::withinLimit);
    }

    /** Returns after how many milliseconds a caller should come back that limits or pauses keep from all servers. */
    long retryAfterMillis() {
        long now = context.ticker().nanos();
        List<Backend> kept = context.directory().usable(service).stream()
                .filter(backend -> !withinLimit(backend))
                .toList();
        OptionalLong pause = kept.stream()
                .mapToLong(backend -> backend.turnedAwayMillis(now))
                .filter(millis -> millis > 0)
                .min();
        List<String> limited = kept.stream()
                .map(backend -> backend.entry().bootId())
                .filter(boot -> !context.limits().admits(boot))
                .toList();
        if (limited.isEmpty()) {
            return pause.orElse(0);
        }
        long limit = context.limits().retryAfterMillis(service, limited);
        return Math.min(limit, pause.orElse(limit));
    }

    private boolean withinLimit(Backend backend) {
        return backend.turnedAwayMillis(context.ticker().nanos()) <= 0
                && context.limits().admits(backend.entry().bootId());
    }
}
