package org.verbenatray.relay;

import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.DoubleSupplier;
import java.util.function.Function;
import org.verbenatray.backends.Backend;
import org.verbenatray.servers.HttpTransport;
import org.verbenatray.time.Deadline;
import org.verbenatray.time.Scheduler;
import org.verbenatray.time.Ticker;
import org.xnio.XnioIoThread;

/**
 * Finds out when servers without polls can be connected to again, so that requests need not try. Each of them is tried
 * at growing intervals from the first failure on until it is connected to, or has left. Used on one thread.
 */
public final class ConnectProbe {
    /** The time from the first failure to the first attempt, in milliseconds. */
    private static final long FIRST_INTERVAL_MILLIS = 250;

    /** The longest time from the end of one attempt to the start of the next, in milliseconds. */
    private static final long MAX_INTERVAL_MILLIS = 1_000;

    /** The part of an interval that is random, so that instances do not connect at once. */
    private static final double RANDOM_SHARE = 0.3;

    /** Opens a connection to a server, which is kept for its next request. */
    private final Function<Backend, CompletableFuture<Void>> connector;

    /** Supplies random numbers from 0 to 1. */
    private final DoubleSupplier random;

    private final Ticker ticker;

    private final Scheduler scheduler;

    /** The boot ids of the servers that are tried. */
    private final Set<String> watched = new HashSet<>();

    private ConnectProbe(
            Function<Backend, CompletableFuture<Void>> connector,
            DoubleSupplier random,
            Ticker ticker,
            Scheduler scheduler) {
        this.connector = connector;
        this.random = random;
        this.ticker = ticker;
        this.scheduler = scheduler;
    }

    /** Creates a probe that keeps the connections it opens in the pools of a transport. */
    public static ConnectProbe create(
            HttpTransport transport, XnioIoThread thread, Scheduler scheduler, DoubleSupplier random) {
        return create(
                server -> transport.connect(
                        server.entry().address(), thread, server.entry().bootId()),
                random,
                transport.ticker(),
                scheduler);
    }

    /** Creates a probe that opens connections with the given function; the random numbers are from 0 to 1. */
    static ConnectProbe create(
            Function<Backend, CompletableFuture<Void>> connector,
            DoubleSupplier random,
            Ticker ticker,
            Scheduler scheduler) {
        return new ConnectProbe(connector, random, ticker, scheduler);
    }

    /** Starts to try an unreachable server, unless it is tried already. */
    void watch(Backend server) {
        if (watched.add(server.entry().bootId())) {
            tryLater(server, FIRST_INTERVAL_MILLIS);
        }
    }

    private void tryLater(Backend server, long intervalMillis) {
        long waitMillis = (long) (intervalMillis * (1 - RANDOM_SHARE * random.getAsDouble()));
        scheduler.runAt(
                Deadline.afterMillis(ticker.nanos(), waitMillis), () -> tryNow(server, nextMillis(intervalMillis)));
    }

    private static long nextMillis(long intervalMillis) {
        return Math.min(MAX_INTERVAL_MILLIS, 2 * intervalMillis);
    }

    private void tryNow(Backend server, long nextIntervalMillis) {
        if (server.leaving()) {
            watched.remove(server.entry().bootId());
            return;
        }
        connector.apply(server).whenComplete((connected, failure) -> {
            if (failure == null) {
                watched.remove(server.entry().bootId());
                server.markReachable();
            } else {
                tryLater(server, nextIntervalMillis);
            }
        });
    }
}
