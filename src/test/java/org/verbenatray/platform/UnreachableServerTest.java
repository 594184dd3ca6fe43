package org.verbenatray.platform;

import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.Assert;
import org.testng.annotations.Test;
import org.verbenatray.platform.RelayFixture.ServerListing;
import org.verbenatray.platform.ScriptedServer.Script;
import org.verbenatray.relay.RelayDialect;

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
        try (RelayFixture relay = RelayFixture.startReady(countingDialect(), listing)) {
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

    /** Returns a translation that counts the requests that are to be sent to a server. */
    private RelayDialect countingDialect() {
        RelayDialect real = PlatformProtocol.create();
        return (RelayDialect) Proxy.newProxyInstance(
                RelayDialect.class.getClassLoader(),
                new Class<?>[] {RelayDialect.class},
                (proxy, called, arguments) -> {
                    if (called.getName().equals("forward")) {
                        sendings.incrementAndGet();
                    }
                    try {
                        return called.invoke(real, arguments);
                    } catch (InvocationTargetException e) {
                        throw e.getCause();
                    }
                });
    }
}
