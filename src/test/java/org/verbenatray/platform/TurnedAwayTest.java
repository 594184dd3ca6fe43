package org.verbenatray.platform;

import java.util.concurrent.TimeUnit;
import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.verbenatray.platform.RelayFixture.ServerListing;
import org.verbenatray.platform.ScriptedServer.Script;

/** Servers that turn a request away and name the time for which they want no other. They got requests all the while. */
public final class TurnedAwayTest {
    private static final Script OK = (request, connection, out) -> out.write(ScriptedServer.okResponse(request, "ok"));

    private static final int REQUESTS = 12;

    @Test
    public void aServerGetsNoRequestForTheTimeThatItNames() throws Exception {
        try (ScriptedServer first = ScriptedServer.start(turningAway("30"));
                ScriptedServer second = ScriptedServer.start(OK);
                RelayFixture relay =
                        RelayFixture.startReady(ServerListing.plain("s1", first), ServerListing.plain("s2", second))) {
            long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(1);
            int sent = 0;
            while (sent < REQUESTS || System.nanoTime() < until) {
                String response = relay.exchange(RelayFixture.getRequest("/safe/x", "id" + sent));
                Assert.assertTrue(response.startsWith("HTTP/1.1 200"), response);
                sent++;
            }
            Assert.assertTrue(
                    first.requests().size() <= 1,
                    "requests: " + first.requests().size());
        }
    }

    @Test
    public void whereAllServersTurnAwayTheCallerIsToldTheirTimeAtOnce() throws Exception {
        try (ScriptedServer server = ScriptedServer.start(turningAway("20.5"));
                RelayFixture relay = RelayFixture.startReady(ServerListing.plain("s1", server))) {
            relay.exchange(RelayFixture.postRequest("/unsafe/x", "id1", "", "b"));
            String response = relay.exchange(RelayFixture.postRequest("/unsafe/x", "id2", "", "b"));
            Assert.assertTrue(response.startsWith("HTTP/1.1 503"), response);
            Assert.assertTrue(response.contains("Retry-After: 20.") || response.contains("retry-after: 20."), response);
            Assert.assertEquals(server.requests().size(), 1);
        }
    }

    @DataProvider
    public Object[][] senselessTimes() {
        return new Object[][] {{"-5"}, {"soon"}, {"999999999"}, {"1e9"}, {"Wed, 21 Oct 2026 07:28:00 GMT"}, {""}};
    }

    @Test(dataProvider = "senselessTimes")
    public void aSenselessTimeIsNotBelieved(String time) throws Exception {
        try (ScriptedServer server = ScriptedServer.start(turningAway(time));
                RelayFixture relay = RelayFixture.startReady(ServerListing.plain("s1", server))) {
            relay.exchange(RelayFixture.postRequest("/unsafe/x", "id1", "", "b"));
            server.setScript(OK);
            relay.await(() -> relay.exchange(RelayFixture.postRequest("/unsafe/x", "id2", "", "b"))
                    .startsWith("HTTP/1.1 200"));
        }
    }

    private static Script turningAway(String seconds) {
        return (request, connection, out) ->
                out.write(ScriptedServer.response(request, 503, "Not-Run: 1\r\nRetry-After: " + seconds + "\r\n", ""));
    }
}
