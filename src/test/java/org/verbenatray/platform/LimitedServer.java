package org.verbenatray.platform;

import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.verbenatray.platform.RelayFixture.ServerListing;
import org.verbenatray.platform.ScriptedServer.Request;

/** A plain server that can name a limit in its answers, and that checks what it receives against the limit. */
final class LimitedServer implements AutoCloseable {
    /** The time after the first answer with the limit from which it must be kept (contactMs). */
    private static final long NOTICE_NANOS = TimeUnit.SECONDS.toNanos(3);

    /** The time after an answer with the limit from which the instance that received it counts. */
    private static final long TOLD_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private static final long WINDOW_SECONDS = 4;

    private static final long WINDOW_NANOS = TimeUnit.SECONDS.toNanos(WINDOW_SECONDS);

    private final String id;

    private final ScriptedServer server;

    /** The value of the header, null while the server names no limit. */
    private volatile String limit;

    /** When the limit was first named, null before. */
    private volatile Long firstNamedNanos;

    /** When each caller's instance was first told, by the name that its requests carry. */
    private final Map<String, Long> toldNanos = new ConcurrentHashMap<>();

    private final List<Arrival> arrivals = new CopyOnWriteArrayList<>();

    private LimitedServer(String id) throws IOException {
        this.id = id;
        this.server = ScriptedServer.start((request, connection, out) -> serve(request, out));
    }

    /** Starts a server that names no limit. */
    static LimitedServer start(String id) throws IOException {
        return new LimitedServer(id);
    }

    /** Names a limit from now on, or none if the value is null. */
    void setLimit(String value) {
        limit = value;
    }

    /** Returns the listing of the server. */
    ServerListing listing() {
        return ServerListing.plain(id, server);
    }

    /** Returns the number of requests received so far. */
    int requestCount() {
        return arrivals.size();
    }

    /** Returns the number of requests received in the time since the limit must be kept. */
    long requestsAfterNotice() {
        Long first = firstNamedNanos;
        return first == null
                ? 0
                : arrivals.stream()
                        .filter(arrival -> arrival.nanos() - first >= NOTICE_NANOS)
                        .count();
    }

    /** Returns the largest number of requests in any 4 s, of instances that had been told half a second before. */
    int mostInWindow() {
        Long first = firstNamedNanos;
        if (first == null) {
            return 0;
        }
        List<Long> counted = new ArrayList<>();
        for (Arrival arrival : arrivals) {
            Long told = toldNanos.get(arrival.instance());
            boolean counts = told != null && arrival.nanos() - told >= TOLD_NANOS;
            if (counts && arrival.nanos() - first >= NOTICE_NANOS) {
                counted.add(arrival.nanos());
            }
        }
        counted.sort(Long::compare);
        int most = 0;
        int oldest = 0;
        for (int newest = 0; newest < counted.size(); newest++) {
            while (counted.get(newest) - counted.get(oldest) > WINDOW_NANOS) {
                oldest++;
            }
            most = Math.max(most, newest - oldest + 1);
        }
        return most;
    }

    /** Returns the largest number of requests that the rule allows in 4 s under a limit. */
    static int allowedInWindow(double requestsPerSecond) {
        return (int) (1.5 * WINDOW_SECONDS * requestsPerSecond + 5);
    }

    @Override
    public void close() throws IOException {
        server.close();
    }

    private void serve(Request request, OutputStream out) throws IOException {
        long now = System.nanoTime();
        String instance = request.header("x-instance");
        arrivals.add(new Arrival(now, instance));
        String named = limit;
        String header = "";
        if (named != null) {
            header = "Server-Limit: " + named + "\r\n";
            if (firstNamedNanos == null) {
                firstNamedNanos = now;
            }
            toldNanos.putIfAbsent(instance, now);
        }
        out.write(ScriptedServer.response(request, 200, "Server-Stamp: mark\r\n" + header, "ok"));
    }

    /**
     * A request received.
     *
     * @param nanos when it was received
     * @param instance the instance that sent it
     */
    private record Arrival(long nanos, String instance) {}
}
