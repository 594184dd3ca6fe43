package org.verbenatray.platform;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.testng.Assert;
import org.testng.annotations.Test;
import org.verbenatray.platform.RelayFixture.ServerListing;

/** Callers that connect again at once after each refusal, beside others whose servers have answered. */
public final class RefusedFloodTest {
    private static final int FLOODING_CALLERS = 40;

    private static final int ANSWERS = 15;

    /** The refusals of each flooding caller that may go before an answer which has arrived. */
    private static final int ROUNDS = 5;

    /** The refusals between two answers that are looked at, so that the flood is under way at each. */
    private static final int REFUSALS_BETWEEN = 400;

    private final AtomicLong refusals = new AtomicLong();

    private final AtomicBoolean over = new AtomicBoolean();

    /** Guards against answers that wait in the server's connection while new callers are accepted and refused. */
    @Test
    public void aFloodOfRefusedCallersDelaysNoAnswerOfAnotherCaller() throws Exception {
        AtomicLong refusalsAtAnswer = new AtomicLong();
        try (ScriptedServer server = ScriptedServer.start((request, connection, out) -> {
                    awaitRefusals(refusals.get() + REFUSALS_BETWEEN);
                    refusalsAtAnswer.set(refusals.get());
                    out.write(ScriptedServer.okResponse(request, "whole"));
                });
                RelayFixture relay = RelayFixture.startReady(ServerListing.plain("s1", server))) {
            List<Thread> flood = startFlood(relay);
            List<Long> delays = new ArrayList<>();
            for (int number = 0; number < ANSWERS; number++) {
                String text = relay.exchange(RelayFixture.postRequest("/unsafe/x", "id" + number, "", "b"));
                delays.add(refusals.get() - refusalsAtAnswer.get());
                Assert.assertTrue(text.endsWith("whole"), text);
            }
            over.set(true);
            for (Thread caller : flood) {
                caller.join();
            }
            Collections.sort(delays);
            Assert.assertTrue(
                    delays.get(ANSWERS / 2) <= ROUNDS * FLOODING_CALLERS,
                    "refusals that went before answers: " + delays);
        }
    }

    private List<Thread> startFlood(RelayFixture relay) {
        List<Thread> callers = new ArrayList<>();
        for (int number = 0; number < FLOODING_CALLERS; number++) {
            Thread caller = new Thread(() -> callUntilOver(relay), "flooding-caller");
            caller.setDaemon(true);
            caller.start();
            callers.add(caller);
        }
        return callers;
    }

    private void callUntilOver(RelayFixture relay) {
        String request = "GET /no-such-route HTTP/1.1\r\nHost: h.example\r\nRequest-Id: f\r\nConnection: close\r\n\r\n";
        while (!over.get()) {
            try (Socket socket = relay.connect()) {
                RelayFixture.send(socket, request);
                RelayFixture.readResponse(new BufferedInputStream(socket.getInputStream()));
                refusals.incrementAndGet();
            } catch (IOException e) {
                // The next attempt follows at once.
            }
        }
    }

    private void awaitRefusals(long count) {
        try {
            while (refusals.get() < count) {
                TimeUnit.MILLISECONDS.sleep(1);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
