package org.verbenatray.platform;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.verbenatray.platform.RelayFixture.ServerListing;
import org.verbenatray.platform.ScriptedServer.Request;
import org.verbenatray.platform.ScriptedServer.Script;

/**
 * Servers that write an earlier refusal once more on a kept connection. Callers were told that a request has not run
 * that the server had run or was running.
 */
public final class RepeatedRefusalTest {
    private static final byte[] WITHOUT_ID = "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n".getBytes();

    /** The path, and whether the copy of the refusal bears the id of its request. */
    @DataProvider
    public Object[][] forms() {
        return new Object[][] {
            {"/unsafe/x", true}, {"/unsafe/x", false}, {"/stream/x", true}, {"/stream/x", false},
        };
    }

    @Test(dataProvider = "forms")
    public void aCopyInPlaceOfTheNextResponseProvesNothing(String path, boolean withId) throws Exception {
        Script script = (request, connection, out) -> {
            if (request.header("request-id").equals("id1")) {
                out.write(refusal(request));
                return;
            }
            out.write(withId ? refusalOf("id1") : WITHOUT_ID);
            out.flush();
            out.write(ScriptedServer.okResponse(request, "ran"));
        };
        assertNotToldNotRun(script, path);
    }

    @Test(dataProvider = "forms")
    public void aCopyBehindItsOriginalProvesNothing(String path, boolean withId) throws Exception {
        Script script = (request, connection, out) -> {
            if (request.header("request-id").equals("id1")) {
                out.write(refusal(request));
                out.write(withId ? refusalOf("id1") : WITHOUT_ID);
            } else {
                out.write(ScriptedServer.okResponse(request, "ran"));
            }
        };
        assertNotToldNotRun(script, path);
    }

    @Test(dataProvider = "forms")
    public void halfACopyProvesNothing(String path, boolean withId) throws Exception {
        Script script = (request, connection, out) -> {
            if (request.header("request-id").equals("id1")) {
                byte[] copy = withId ? refusalOf("id1") : WITHOUT_ID;
                out.write(refusal(request));
                out.write(copy, 0, copy.length / 2);
            } else {
                out.write(ScriptedServer.okResponse(request, "ran"));
            }
        };
        assertNotToldNotRun(script, path);
    }

    /** The same request is sent to the same engine once more after a refusal there and a broken stream elsewhere. */
    @Test
    public void aRequestIsNotSentAgainOnAConnectionThatHasCarriedIt() throws Exception {
        List<String> seen = new CopyOnWriteArrayList<>();
        Script refusing = (request, connection, out) -> {
            String key = request.header("request-id") + " " + connection.getPort();
            if (request.line().startsWith("POST")) {
                Assert.assertFalse(seen.contains(key));
                seen.add(key);
                out.write(refusal(request));
            }
        };
        try (ScriptedServer first = ScriptedServer.start(refusing);
                ScriptedServer second = ScriptedServer.start(refusing);
                RelayFixture relay = RelayFixture.startReady(
                        ServerListing.engine("e1", "decode", first), ServerListing.engine("e2", "decode", second))) {
            for (int number = 0; number < 6; number++) {
                relay.exchange(RelayFixture.postRequest("/resume/x", "same", "", "b"));
            }
            Assert.assertTrue(seen.size() >= 6, "sent: " + seen);
            Assert.assertEquals(seen.stream().distinct().count(), seen.size());
        }
    }

    /** Sends a request that is refused, then one that runs; the caller of that must not read that it has not run. */
    private static void assertNotToldNotRun(Script script, String path) throws Exception {
        try (ScriptedServer server = ScriptedServer.start(script);
                RelayFixture relay = RelayFixture.startReady(
                        ServerListing.plain("s1", server), ServerListing.engine("e1", "decode", server))) {
            String refused = relay.exchange(RelayFixture.postRequest(path, "id1", "", "b"));
            Assert.assertTrue(refused.startsWith("HTTP/1.1 503"), refused);
            String response = relay.exchange(RelayFixture.postRequest(path, "id2", "", "b"));
            long runs = server.requests().stream()
                    .filter(request -> request.header("request-id").equals("id2"))
                    .count();
            Assert.assertTrue(runs <= 1, "runs: " + runs);
            Assert.assertTrue(
                    response.startsWith("HTTP/1.1 200") || response.startsWith("HTTP/1.1 502") || runs == 0, response);
        }
    }

    private static byte[] refusal(Request request) {
        return ScriptedServer.response(request, 503, "Not-Run: 1\r\n", "");
    }

    private static byte[] refusalOf(String id) {
        return ("HTTP/1.1 503 Full\r\nRequest-Id: " + id + "\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n").getBytes();
    }
}
