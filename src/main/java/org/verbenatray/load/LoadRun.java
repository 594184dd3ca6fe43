package org.verbenatray.load;

import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.time.Clock;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.verbenatray.servers.HttpTransport;
import org.verbenatray.time.Ticker;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** Makes calls at a steady rate to several instances in turn. */
public final class LoadRun {
    /** The time that a call may take in milliseconds. */
    private static final long PATIENCE_MILLIS = 60_000;

    /** Nanoseconds in one second. */
    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    /** The base URIs of the instances. */
    private final List<String> addresses;

    /** The API key. */
    private final String key;

    /** Whether texts are compared with what stand-in engines generate. */
    private final boolean comparesTexts;

    /** Creates a run. */
    private LoadRun(List<String> addresses, String key, boolean comparesTexts) {
        this.addresses = List.copyOf(addresses);
        this.key = key;
        this.comparesTexts = comparesTexts;
    }

    /** Returns a run against the given instances. */
    public static LoadRun create(List<String> addresses, String key, boolean comparesTexts) {
        return new LoadRun(addresses, key, comparesTexts);
    }

    /** Makes the calls and returns their counts and times. */
    public LoadSummary run(int seconds, int perSecond, double reviews, long seed) throws IOException {
        XnioWorker worker = Xnio.getInstance()
                .createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 2, Options.THREAD_DAEMON, true));
        HttpTransport transport =
                HttpTransport.create(worker, new DefaultByteBufferPool(true, 16 * 1024), Ticker.system());
        LoadCaller caller = LoadCaller.create(transport, key, PATIENCE_MILLIS);
        LoadMix mix = LoadMix.create(seed, Clock.systemUTC());
        LoadSummary summary = LoadSummary.create();
        List<CompletableFuture<Void>> open = new ArrayList<>();
        long start = System.nanoTime();
        long calls = (long) seconds * perSecond;
        for (long turn = 0; turn < calls; turn++) {
            long due = start + turn * NANOS_PER_SECOND / perSecond;
            LockSupport.parkNanos(Math.max(0, due - System.nanoTime()));
            String address = addresses.get((int) (turn % addresses.size()));
            open.add(caller.call(address, expected(mix.next(reviews))).thenAccept(summary::add));
        }
        CompletableFuture.allOf(open.toArray(CompletableFuture[]::new))
                .orTimeout(2 * PATIENCE_MILLIS, TimeUnit.MILLISECONDS)
                .join();
        worker.shutdown();
        return summary;
    }

    /** Returns a call without its expected text where texts are not compared. */
    private LoadCall expected(LoadCall call) {
        return comparesTexts
                ? call
                : new LoadCall(call.kind(), call.path(), call.headers(), call.body(), Optional.empty());
    }
}
