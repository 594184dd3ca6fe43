package org.verbenatray.relay;

import java.net.URI;
import java.util.concurrent.CompletableFuture;
import org.testng.Assert;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.verbenatray.backends.Backend;
import org.verbenatray.backends.BackendEntry;
import org.verbenatray.backends.BackendStage;
import org.verbenatray.time.ManualTime;

/** Attempts to connect to a server that cannot be connected to, in simulated time. */
public final class ConnectProbeTest {
    /** The time for which the server stays unreachable, in milliseconds. */
    private static final int OUTAGE_MILLIS = 10_000;

    /** Two attempts a second, which all instances together make often enough to find the server again. */
    private static final int MAX_ATTEMPTS = 20;

    private ManualTime time;
    private Backend server;
    private boolean accepts;
    private int attempts;

    @BeforeMethod
    public void start() {
        time = new ManualTime();
        server = Backend.of(new BackendEntry(
                "s1", "plain", URI.create("http://10.0.0.1:1"), "z", BackendStage.PLAIN, false, 1, "v", false, 1));
        accepts = false;
        attempts = 0;
    }

    /** Every instance tried a server four times a second, however long it took no connection. */
    @Test
    public void aServerThatTakesNoConnectionsIsTriedLessAndLessOften() {
        watch();
        time.advanceMillis(OUTAGE_MILLIS);
        Assert.assertTrue(attempts <= MAX_ATTEMPTS, "attempts: " + attempts);
    }

    @Test
    public void aServerThatTakesConnectionsAgainIsReachableWithinASecond() {
        watch();
        time.advanceMillis(OUTAGE_MILLIS);
        Assert.assertTrue(server.unreachable());
        accepts = true;
        time.advanceMillis(1_000);
        Assert.assertFalse(server.unreachable());
        int then = attempts;
        time.advanceMillis(OUTAGE_MILLIS);
        Assert.assertEquals(attempts, then);
    }

    private void watch() {
        server.markUnreachable();
        ConnectProbe probe = ConnectProbe.create(this::connect, () -> 0.5, time, time);
        probe.watch(server);
        probe.watch(server);
    }

    private CompletableFuture<Void> connect(Backend to) {
        attempts++;
        return accepts
                ? CompletableFuture.completedFuture(null)
                : CompletableFuture.failedFuture(new IllegalStateException("refused"));
    }
}
