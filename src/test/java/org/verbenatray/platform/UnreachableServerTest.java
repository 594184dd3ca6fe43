package org.verbenatray.platform;

import java.util.concurrent.atomic.AtomicInteger;
import org.testng.Assert;
import org.testng.annotations.Test;
import org.verbenatray.platform.RelayFixture.ServerListing;
import org.verbenatray.platform.ScriptedServer.Script;

/** Servers of plain services that cannot be connected to. */
public final class UnreachableServerTest {
    private static final Script OK = (request, connection, out) -> out.write(ScriptedServer.okResponse(request, "ok"));

    private final AtomicInteger sendings = new AtomicInteger();

    /** Each request waited for the connect timeout of each server, one after the other, until it had no time left. */
    @Test
    public void requestsAreRefusedAtOnceWithoutTryingServersThatAreKnownToBeOutOfReach() throws Exception {
        ScriptedServer ended = ScriptedServer.start(OK);
        ended.close();
        ServerListing listing = ServerListing.plain("s1", ended);
        try (RelayFixture relay =
                RelayFixture.startReady(InterceptedDialect.before("forward", sendings::incrementAndGet), listing)) {
            for (int number = 0; number < 5; number++) {
                String response = relay.exchange(RelayFixture.postRequest("/unsafe/x", "id" + number, "", "b"));
                Assert.assertTrue(response.startsWith("HTTP/1.1 503"), response);
            }
            Assert.assertEquals(sendings.get(), 1);
            try (ScriptedServer again = ScriptedServer.startAt(ended.port(), OK)) {
                relay.await(() -> relay.exchange(RelayFixture.postRequest("/unsafe/x", "later", "", "b"))
                        .startsWith("HTTP/1.1 200"));
                Assert.assertEquals(again.requests().size(), 1);
            }
        }
    }
}
