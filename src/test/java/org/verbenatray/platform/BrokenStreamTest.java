package org.verbenatray.platform;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.stream.Stream;
import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.verbenatray.platform.RelayFixture.ServerListing;
import org.verbenatray.platform.ScriptedServer.Script;

/**
 * Streams that break off, after which the next engine responds with something else than the rest. Callers found the
 * text of the error in the middle of their stream, events twice, or a stream that ended as if it were complete.
 */
public final class BrokenStreamTest {
    private static final String SHORT = "Token-Count: 10,5\r\nPrompt-Prefix: ab:10\r\n";

    private static final String ERROR = "error-text";

    private static final String STAMP = "Server-Stamp: mark\r\n";

    private static final String EVENT_STREAM = "Content-Type: text/event-stream\r\n";

    /** The ids after which the stream is asked for. */
    private static final List<String> REST_ASKED_FOR = List.of("2");

    /** The same where the next engine has sent nothing, and is asked whether the stream has ended. */
    private static final List<String> END_CHECKED = List.of("2", "1");

    /** What the next engine responds with, by name. */
    @DataProvider
    public Object[][] answers() {
        return new Object[][] {
            {"error", response(500, STAMP, ERROR), REST_ASKED_FOR},
            {"error that is not stamped", response(500, "", ERROR), REST_ASKED_FOR},
            {
                "error with the body of events",
                response(500, STAMP + EVENT_STREAM, "id: 9\ndata: " + ERROR + "\n\n"),
                REST_ASKED_FOR
            },
            {"not found", response(404, STAMP, ERROR), REST_ASKED_FOR},
            {"busy, but not said not to have run", response(503, "", ERROR), REST_ASKED_FOR},
            {"success with a text", response(200, STAMP + "Content-Type: text/plain\r\n", ERROR), REST_ASKED_FOR},
            {"success of another request", otherRequest(), REST_ASKED_FOR},
            {
                "an error as an event without id",
                StreamScripts.whole("event: error\ndata: " + ERROR + "\n\n"),
                REST_ASKED_FOR
            },
            {"a head as an event", StreamScripts.whole("HTTP/1.1 500 Error\r\nX: " + ERROR + "\r\n\r\n"), REST_ASKED_FOR
            },
            {"a text in place of an event", StreamScripts.whole(ERROR + "\n\n"), REST_ASKED_FOR},
            {"the last event once more", StreamScripts.whole("id: 2\ndata: " + ERROR + "\n\n"), REST_ASKED_FOR},
            {"the stream from its beginning", StreamScripts.whole("id: 1\ndata: " + ERROR + "\n\n"), REST_ASKED_FOR},
            {"an end without events", StreamScripts.whole(""), END_CHECKED},
            {"a head and the end of the connection", StreamScripts.headAndEndOfConnection(), END_CHECKED},
        };
    }

    @Test(dataProvider = "answers")
    public void theCallerGetsWhatCameBeforeAndABrokenConnection(String name, Script answer, List<String> askedAfter)
            throws Exception {
        Script script = (request, connection, out) -> {
            boolean begins = request.header("last-event-id").isEmpty();
            (begins ? StreamScripts.brokenOff("id: 1\ndata: a\n\nid: 2\ndata: b\n\n") : answer)
                    .serve(request, connection, out);
        };
        try (ScriptedServer first = ScriptedServer.start(script);
                ScriptedServer second = ScriptedServer.start(script);
                RelayFixture relay = RelayFixture.startReady(
                        ServerListing.engine("e1", "decode", first), ServerListing.engine("e2", "decode", second))) {
            String response = relay.exchange(RelayFixture.postRequest("/resume/x", "id1", SHORT, "p"));
            Assert.assertTrue(response.startsWith("HTTP/1.1 200"), response);
            Assert.assertEquals(response.split("id: 1\ndata: a\n\n", -1).length, 2, response);
            Assert.assertEquals(response.split("id: 2\ndata: b\n\n", -1).length, 2, response);
            Assert.assertTrue(response.endsWith("<closed>"), response);
            Assert.assertFalse(response.contains(ERROR), response);
            List<String> resumedAfter = Stream.concat(first.requests().stream(), second.requests().stream())
                    .map(request -> request.header("last-event-id"))
                    .filter(id -> !id.isEmpty())
                    .distinct()
                    .toList();
            Assert.assertEquals(resumedAfter, askedAfter);
        }
    }

    private static Script response(int status, String headers, String body) {
        return (request, connection, out) -> out.write(ScriptedServer.response(request, status, headers, body));
    }

    private static Script otherRequest() {
        return (request, connection, out) -> out.write(("HTTP/1.1 200 OK\r\nRequest-Id: other\r\n" + STAMP
                        + EVENT_STREAM + "Content-Length: 23\r\n\r\nid: 3\ndata: " + ERROR + "\n\n")
                .getBytes(StandardCharsets.ISO_8859_1));
    }
}
