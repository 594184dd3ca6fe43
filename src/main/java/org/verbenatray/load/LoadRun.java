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

/** Sends calls at a constant rate to several instances in turn. */
public final class LoadRun {
    /** The timeout of a call in milliseconds. */
    private static final long CALL_TIMEOUT_MILLIS = 60_000;

    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    private final List<String> addresses;

    private final String key;

    /** Whether response texts are compared with what stand-in engines generate. */
    private final boolean verifiesTexts;

    private LoadRun(List<String> addresses, String key, boolean verifiesTexts) {
        this.addresses = List.copyOf(addresses);
        this.key = key;
        this.verifiesTexts = verifiesTexts;
    }

    /** Returns a run against the instances with the given base URIs. */
    public static LoadRun create(List<String> addresses, String key, boolean verifiesTexts) {
        return new LoadRun(addresses, key, verifiesTexts);
    }

    /** Sends the calls and returns their counts and times once all have ended. */
    public LoadSummary run(int seconds, int callsPerSecond, double reviewShare, long seed) throws IOException {
        XnioWorker worker = Xnio.getInstance()
                .createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 2, Options.THREAD_DAEMON, true));
        HttpTransport transport =
                HttpTransport.create(worker, new DefaultByteBufferPool(true, 16 * 1024), Ticker.system());
        LoadCaller caller = LoadCaller.create(transport, key, CALL_TIMEOUT_MILLIS);
        LoadMix mix = LoadMix.create(seed, Clock.systemUTC());
        LoadSummary summary = LoadSummary.create();
        List<CompletableFuture<Void>> open = new ArrayList<>();
        long start = System.nanoTime();
        long callCount = (long) seconds * callsPerSecond;
        for (long turn = 0; turn < callCount; turn++) {
            long due = start + turn * NANOS_PER_SECOND / callsPerSecond;
            LockSupport.parkNanos(Math.max(0, due - System.nanoTime()));
            String address = addresses.get((int) (turn % addresses.size()));
            open.add(caller.call(address, withTextVerification(mix.next(reviewShare)))
                    .thenAccept(summary::add));
        }
        CompletableFuture.allOf(open.toArray(CompletableFuture[]::new))
                .orTimeout(2 * CALL_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .join();
        worker.shutdown();
        return summary;
    }

    /** Returns the call, without its expected text if texts are not verified. */
    private LoadCall withTextVerification(LoadCall call) {
        return verifiesTexts
                ? call
                : new LoadCall(call.kind(), call.path(), call.headers(), call.body(), Optional.empty());
    }
}
