package org.verbenatray.platform;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.verbenatray.instance.EventLoop;
import org.verbenatray.servers.BufferedResponse;
import org.verbenatray.servers.ServerFailure;
import org.verbenatray.time.Ticker;

/** A test whose calls run on an event loop of its own. */
abstract class EventLoopTest {
    /** The timeout of a call in seconds. */
    static final int TIMEOUT_SECONDS = 20;

    private EventLoop loop;

    @BeforeClass
    public void startLoop() {
        loop = EventLoop.start(Ticker.system());
    }

    @AfterClass
    public void stopLoop() {
        loop.close();
    }

    /** Returns the event loop. */
    EventLoop loop() {
        return loop;
    }

    /** Returns the failure of a call; fails if it brings a response. */
    static ServerFailure failureOf(CompletableFuture<BufferedResponse> call) throws Exception {
        try {
            BufferedResponse response = call.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
            throw new AssertionError("a response of status " + response.status() + ", "
                    + response.text().length() + " chars");
        } catch (ExecutionException e) {
            return (ServerFailure) e.getCause();
        }
    }
}
