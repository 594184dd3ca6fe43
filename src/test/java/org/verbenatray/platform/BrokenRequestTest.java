package org.verbenatray.platform;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.testng.Assert;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.verbenatray.platform.RelayFixture.ServerListing;

/** Requests that break the grammar of HTTP: no server must get them, nor what they may hide. */
public final class BrokenRequestTest {
    /** The fields of each request; the place of its id is marked. */
    private static final String FIELDS = "Host: h.example\r\nRequest-Id: %s\r\nDeadline-Ms: 3000\r\n";

    private static final String CHUNKED = "POST /unsafe/x HTTP/1.1\r\n" + FIELDS + "Transfer-Encoding: chunked\r\n\r\n";

    private static final List<String> REQUESTS = List.of(
            "POST  /unsafe/x HTTP/1.1\r\n" + FIELDS + "Content-Length: 5\r\n\r\nwhole",
            "POST /unsafe/x  HTTP/1.1\r\n" + FIELDS + "Content-Length: 5\r\n\r\nwhole",
            "POST /unsafe/x HTTP/1.1 \r\n" + FIELDS + "Content-Length: 5\r\n\r\nwhole",
            "POST /unsafe/x\r\n" + FIELDS + "Content-Length: 5\r\n\r\nwhole",
            "POST /unsafe/x HTTP/2.0\r\n" + FIELDS + "Content-Length: 5\r\n\r\nwhole",
            "POST /unsafe/x HTTQ/1.1\r\n" + FIELDS + "Content-Length: 5\r\n\r\nwhole",
            "PO(ST /unsafe/x HTTP/1.1\r\n" + FIELDS + "Content-Length: 5\r\n\r\nwhole",
            "POST /unsafe/\0x HTTP/1.1\r\n" + FIELDS + "Content-Length: 5\r\n\r\nwhole",
            "\r\nPOST /unsafe/x HTTP/1.1\r\n" + FIELDS + "Content-Length: 5\r\n\r\nwhole",
            "POST /unsafe/x HTTP/1.1\n" + FIELDS + "Content-Length: 5\r\n\r\nwhole",
            "POST /unsafe/x HTTP/1.1\r\n" + FIELDS + "Content-Length: +5\r\n\r\nwhole",
            "POST /unsafe/x HTTP/1.1\r\n" + FIELDS + "Content-Length: -5\r\n\r\nwhole",
            "POST /unsafe/x HTTP/1.1\r\n" + FIELDS + "Content-Length: 0x5\r\n\r\nwhole",
            "POST /unsafe/x HTTP/1.1\r\n" + FIELDS + "Content-Length: 5, 5\r\n\r\nwhole",
            "POST /unsafe/x HTTP/1.1\r\n" + FIELDS + "Content-Length:\r\n\r\nwhole",
            "POST /unsafe/x HTTP/1.1\r\n" + FIELDS + "Content-Length: 10000000000000000005\r\n\r\nwhole",
            "POST /unsafe/x HTTP/1.1\r\n" + FIELDS + "Content-Length: 5\r\nContent-Length: 5\r\n\r\nwhole",
            "POST /unsafe/x HTTP/1.1\r\n" + FIELDS + "Content-Length : 5\r\n\r\nwhole",
            "POST /unsafe/x HTTP/1.1\r\n" + FIELDS + " Content-Length: 2\r\nContent-Length: 5\r\n\r\nwhole",
            "POST /unsafe/x HTTP/1.1\r\n" + FIELDS + "Content-Length:\r\n 5\r\n\r\nwhole",
            "POST /unsafe/x HTTP/1.1\r\n" + FIELDS + "X-Note: a\r\n b\r\nContent-Length: 5\r\n\r\nwhole",
            "POST /unsafe/x HTTP/1.1\r\n X-Note: a\r\n" + FIELDS + "Content-Length: 5\r\n\r\nwhole",
            "POST /unsafe/x HTTP/1.1\r\n" + FIELDS + "X Note: a\r\nContent-Length: 5\r\n\r\nwhole",
            "POST /unsafe/x HTTP/1.1\r\n" + FIELDS + "X\0Note: a\r\nContent-Length: 5\r\n\r\nwhole",
            "POST /unsafe/x HTTP/1.1\r\n" + FIELDS + "no field\r\nContent-Length: 5\r\n\r\nwhole",
            "POST /unsafe/x HTTP/1.1\r\n" + FIELDS + ": a\r\nContent-Length: 5\r\n\r\nwhole",
            "POST /unsafe/x HTTP/1.1\r\n" + FIELDS + "X-Note: a\0b\r\nContent-Length: 5\r\n\r\nwhole",
            "POST /unsafe/x HTTP/1.1\r\n" + FIELDS + "X-Note: a\rb\r\nContent-Length: 5\r\n\r\nwhole",
            "POST /unsafe/x HTTP/1.1\r\n" + FIELDS + "X-Note: a\nContent-Length: 5\r\n\r\nwhole",
            "POST /unsafe/x HTTP/1.1\r\n" + FIELDS + "X-Note: a\u007fb\r\nContent-Length: 5\r\n\r\nwhole",
            "POST /unsafe/x HTTP/1.1\r\n" + FIELDS + "Transfer-Encoding: shuffled\r\n\r\nwhole",
            "POST /unsafe/x HTTP/1.1\r\n" + FIELDS + "Transfer-Encoding: identity\r\nContent-Length: 5\r\n\r\nwhole",
            "POST /unsafe/x HTTP/1.1\r\n" + FIELDS
                    + "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
            "POST /unsafe/x HTTP/1.1\r\n" + FIELDS
                    + "Transfer-Encoding: shuffled, chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
            "POST /unsafe/x HTTP/1.0\r\n" + FIELDS + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
            CHUNKED + "2\r\nwhole\r\n0\r\n\r\n",
            CHUNKED + "6\r\nwhole\r\n0\r\n\r\n",
            CHUNKED + "5 no extension\r\nwhole\r\n0\r\n\r\n",
            CHUNKED + "2z\r\nwhole\r\n0\r\n\r\n",
            CHUNKED + "-5\r\nwhole\r\n0\r\n\r\n",
            CHUNKED + "+5\r\nwhole\r\n0\r\n\r\n",
            CHUNKED + "0x5\r\nwhole\r\n0\r\n\r\n",
            CHUNKED + "\r\nwhole\r\n0\r\n\r\n",
            CHUNKED + "10000000000000005\r\nwhole\r\n0\r\n\r\n",
            CHUNKED + "5\nwhole\r\n0\r\n\r\n",
            CHUNKED + "5\r\nwhole\n0\r\n\r\n",
            CHUNKED + "5\r\nwhole\r\n0\r\nno field\r\n\r\n");

    private ScriptedServer server;

    private RelayFixture relay;

    @BeforeClass
    public void start() throws Exception {
        server = ScriptedServer.start(
                (request, connection, out) -> out.write(ScriptedServer.okResponse(request, "whole")));
        relay = RelayFixture.startReady(ServerListing.plain("s1", server));
    }

    @AfterClass
    public void stop() throws IOException {
        relay.close();
        server.close();
    }

    @DataProvider
    public Object[] requests() {
        return REQUESTS.toArray();
    }

    @Test(dataProvider = "requests")
    public void noServerGetsARequestThatBreaksTheGrammar(String request) throws Exception {
        String id = "broken" + REQUESTS.indexOf(request);
        String hidden = RelayFixture.postRequest("/unsafe/x", "hidden" + id, "", "b");
        try (Socket caller = relay.connect()) {
            RelayFixture.send(caller, request.replace("%s", id) + hidden);
            caller.shutdownOutput();
            String text = new String(caller.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
            Assert.assertTrue(text.isEmpty() || text.matches("(?s)HTTP/1\\.[01] 400 .*"), text);
        }
        Assert.assertEquals(arrivals(id), List.of());
    }

    /** The framing of a body breaks after its first chunk was read. */
    @Test
    public void aBodyThatBreaksWhileItIsReadIsNotRun() throws Exception {
        try (Socket caller = relay.connect()) {
            RelayFixture.send(caller, CHUNKED.replace("%s", "late") + "4\r\nbody\r\n");
            relay.passIoRounds();
            RelayFixture.send(caller, "2\r\nwhole\r\n0\r\n\r\n" + RelayFixture.getRequest("/safe/x", "hidden-late"));
            String text = new String(caller.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
            Assert.assertTrue(text.isEmpty() || text.startsWith("HTTP/1.1 400 "), text);
        }
        Assert.assertEquals(arrivals("late"), List.of());
    }

    @Test
    public void aSoundRequestBeforeABrokenOneIsAnswered() throws Exception {
        for (String broken : REQUESTS) {
            String id = "second" + REQUESTS.indexOf(broken);
            try (Socket caller = relay.connect()) {
                RelayFixture.send(
                        caller, RelayFixture.postRequest("/unsafe/x", "first", "", "b") + broken.replace("%s", id));
                InputStream in = new BufferedInputStream(caller.getInputStream());
                CallerReply reply = CallerReply.read(in);
                Assert.assertEquals(reply.body(), "whole", broken + reply);
                caller.shutdownOutput();
                in.readAllBytes();
            }
            Assert.assertEquals(arrivals(id), List.of());
        }
    }

    /** Forms that are rare but sound. */
    @Test
    public void rareFormsOfSoundRequestsAreRun() throws Exception {
        List<String> forms = List.of(
                "POST /unsafe/x?a=b%20c&d HTTP/1.1\r\n" + FIELDS + "content-LENGTH: \t5 \r\n\r\nwhole",
                "POST /unsafe/x HTTP/1.1\r\n" + FIELDS
                        + "X-High: \u00e9\r\nX-Empty:\r\nContent-Length: 005\r\n\r\nwhole",
                "POST /unsafe/x HTTP/1.0\r\n" + FIELDS + "Content-Length: 5\r\n\r\nwhole",
                CHUNKED + "003;a;b=\"c;d\"\r\nwho\r\n2\r\nle\r\n0\r\nX-Trailer: a\r\n\r\n");
        for (String form : forms) {
            String id = "form" + forms.indexOf(form);
            String text = relay.exchange(form.replace("%s", id));
            Assert.assertTrue(text.contains(" 200 OK"), form + text);
            Assert.assertEquals(arrivals(id).size(), 1);
        }
        Assert.assertTrue(server.requests().stream()
                .filter(request -> request.header("request-id").startsWith("form"))
                .allMatch(request -> request.body().equals("whole")));
    }

    /** Returns the ids of the requests that have reached the server and end so. */
    private List<String> arrivals(String idEnd) {
        return server.requests().stream()
                .map(received -> received.header("request-id"))
                .filter(received -> received.endsWith(idEnd))
                .toList();
    }
}
