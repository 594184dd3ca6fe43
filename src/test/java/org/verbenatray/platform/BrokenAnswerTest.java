package org.verbenatray.platform;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import org.testng.Assert;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.verbenatray.platform.RelayFixture.ServerListing;
import org.verbenatray.platform.ScriptedServer.Request;
import org.verbenatray.platform.ScriptedServer.Script;

/** Servers that send answers which break the grammar of HTTP: their callers must not get them as answers. */
public final class BrokenAnswerTest {
    /** Two plain servers and two engines. */
    private final List<ScriptedServer> servers = new ArrayList<>();

    private RelayFixture relay;

    /** Starts an instance whose servers answer as the current case sets. */
    @BeforeClass
    public void start() throws Exception {
        for (int number = 0; number < 4; number++) {
            servers.add(ScriptedServer.start(BrokenAnswerTest::answerWell));
        }
        relay = RelayFixture.startReady(
                ServerListing.plain("s1", servers.get(0)),
                ServerListing.plain("s2", servers.get(1)),
                ServerListing.engine("e1", "decode", servers.get(2)),
                ServerListing.engine("e2", "decode", servers.get(3)));
    }

    @AfterClass
    public void stop() throws IOException {
        relay.close();
        for (ScriptedServer server : servers) {
            server.close();
        }
    }

    @DataProvider
    public Object[] answers() {
        return BrokenAnswer.values();
    }

    /** Each kind of answer to requests that may not be repeated, from a server that closes or keeps its connection. */
    @DataProvider
    public Object[][] answersToUnrepeatable() {
        List<Object[]> cases = new ArrayList<>();
        for (BrokenAnswer answer : BrokenAnswer.values()) {
            for (String path : List.of("/unsafe/x", "/stream/x")) {
                cases.add(new Object[] {answer, path, true});
                cases.add(new Object[] {answer, path, false});
            }
        }
        return cases.toArray(Object[][]::new);
    }

    /** The request may have run, so that its caller is told neither a success nor that it has not run. */
    @Test(dataProvider = "answersToUnrepeatable")
    public void theCallerGetsAnErrorThatPromisesNothing(BrokenAnswer answer, String path, boolean closes)
            throws Exception {
        answerCallers(answer.script(closes));
        CallerReply reply = exchange(path, answer + path.replace("/", "-") + closes);
        Assert.assertTrue(reply.whole(), reply.toString());
        Assert.assertEquals(reply.status(), 502, reply.toString());
        Assert.assertFalse(reply.headers().containsKey("server-stamp"), reply.toString());
    }

    @Test(dataProvider = "answers")
    public void aRequestThatMayBeRepeatedIsAnsweredByTheNextServer(BrokenAnswer answer) throws Exception {
        String id = "again-" + answer;
        answerCallers((request, connection, out) -> {
            if (arrivals(id) == 1) {
                answer.script(true).serve(request, connection, out);
            } else {
                answerWell(request, connection, out);
            }
        });
        CallerReply reply = exchange("/safe/x", id);
        Assert.assertEquals(reply.status(), 200, reply.toString());
        Assert.assertEquals(reply.body(), "{}");
        Assert.assertEquals(arrivals(id), 2);
    }

    /** An engine that spoils the rest of a stream leaves it visibly broken off, even if a last chunk follows. */
    @Test(dataProvider = "answers")
    public void theRestOfAStreamIsNotTakenForItsEnd(BrokenAnswer answer) throws Exception {
        String id = "stream-" + answer;
        answerCallers((request, connection, out) -> {
            if (request.header("last-event-id").isEmpty()) {
                out.write(ScriptedServer.streamHead(request));
                out.write(ScriptedServer.eventChunk(1, "a"));
                out.flush();
                connection.close();
            } else {
                answer.script(true).serve(request, connection, out);
            }
        });
        CallerReply reply = exchange("/resume/x", id);
        Assert.assertEquals(reply.status(), 200, reply.toString());
        Assert.assertFalse(reply.whole(), reply.toString());
        Assert.assertEquals(reply.body(), "id: 1\ndata: a\n\n");
    }

    /** The framing of a stream breaks after its first event. */
    @Test
    public void aStreamWhoseChunksBreakIsVisiblyBrokenOff() throws Exception {
        List<String> rests = List.of(
                "2\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n",
                "11 x\r\nid: 2\ndata: bcd\n\n\r\n0\r\n\r\n",
                "11\nid: 2\ndata: bcd\n\n\r\n0\r\n\r\n",
                "0\r\nno field\r\n\r\n");
        for (String rest : rests) {
            answerCallers((request, connection, out) -> {
                out.write(ScriptedServer.streamHead(request));
                out.write(ScriptedServer.eventChunk(1, "a"));
                RelayFixture.send(connection, rest);
            });
            CallerReply reply = exchange("/stream/x", "rest" + rests.indexOf(rest));
            Assert.assertFalse(reply.status() == 200 && reply.whole(), reply.toString());
        }
    }

    /** Broken answers that hold the handle of a prefilled prompt. */
    @DataProvider
    public Object[] handleAnswers() {
        String handle = "{\"kvHandle\":\"h1\",\"tokens\":9}";
        String length = Integer.toString(handle.length());
        return new Object[] {
            "HTTP/1.1 200 OK\r\n%sContent-Length: +" + length + "\r\n\r\n" + handle,
            "HTTP/1.1 200 OK\r\n%sContent-Length:\r\n " + length + "\r\n\r\n" + handle,
            "HTTP/1.1 200 OK\r\n%sTransfer-Encoding: shuffled\r\n\r\n" + handle,
            "HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(handle.length()) + " x\r\n"
                    + handle + "\r\n0\r\n\r\n"
        };
    }

    /** A prefill engine in trouble costs its prompt the prefill, and no handle is taken from its answer. */
    @Test(dataProvider = "handleAnswers")
    public void aPromptIsGeneratedWithoutThePrefillThatIsAnsweredSo(String answer) throws Exception {
        Script broken = (request, connection, out) -> {
            out.write(BrokenAnswer.bytes(answer, request));
            out.flush();
            connection.close();
        };
        try (ScriptedServer prefill = ScriptedServer.start(broken);
                ScriptedServer decode = ScriptedServer.start(BrokenAnswerTest::answerWell);
                RelayFixture own = RelayFixture.startReady(
                        ServerListing.engine("p1", "prefill", prefill), ServerListing.engine("d1", "decode", decode))) {
            String prompt = "Token-Count: 9000,5\r\nPrompt-Prefix: ab:8000,cd:1000\r\n";
            String text = own.exchange(RelayFixture.postRequest("/stream/x", "id1", prompt, "b"));
            Assert.assertTrue(text.startsWith("HTTP/1.1 200") && text.endsWith("{}"), text);
            Assert.assertTrue(
                    prefill.requests().stream()
                            .anyMatch(request -> request.header("request-id").equals("id1")),
                    "the prompt was not sent to the prefill engine");
            Assert.assertTrue(
                    decode.requests().stream()
                            .allMatch(request -> request.header("kv-source").isEmpty()),
                    "the handle was used");
        }
    }

    /** Interim responses are no answer, and the final one after them is. */
    @Test
    public void theAnswerBehindInterimResponsesIsPassedOn() throws Exception {
        answerCallers((request, connection, out) -> {
            RelayFixture.send(connection, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\nX-Note: a\r\n\r\n");
            RelayFixture.send(connection, "HTTP/1.1 103 Early Hints\r\n\r\n");
            out.write(ScriptedServer.okResponse(request, "whole"));
        });
        for (String path : List.of("/unsafe/x", "/safe/x", "/stream/x")) {
            CallerReply reply = exchange(path, "interim" + path.replace("/", "-"));
            Assert.assertEquals(reply.status(), 200, reply.toString());
            Assert.assertEquals(reply.body(), "whole");
        }
    }

    @Test
    public void anInterimResponseAloneIsNoAnswer() throws Exception {
        answerCallers((request, connection, out) -> {
            RelayFixture.send(
                    connection,
                    "HTTP/1.1 102 Processing\r\nRequest-Id: " + request.header("request-id")
                            + "\r\nServer-Stamp: mark\r\nContent-Length: 0\r\n\r\n");
            connection.close();
        });
        Assert.assertEquals(exchange("/unsafe/x", "processing").status(), 502);
    }

    /** Forms that are rare but sound are answers still. */
    @Test
    public void rareFormsOfSoundAnswersArePassedOn() throws Exception {
        List<String> forms = List.of(
                "HTTP/1.1 200 \r\n%sContent-Length: 5\r\n\r\nwhole",
                "HTTP/1.0 200 OK\r\n%sContent-Length: 5\r\n\r\nwhole",
                "HTTP/1.1 200 Sch\u00f6n\r\n%scontent-LENGTH:\t 5 \t\r\n\r\nwhole",
                "HTTP/1.1 200 OK\r\n%sContent-Length: 00005\r\nX-Empty:\r\nX-High: \u00e9\r\n\r\nwhole",
                "HTTP/1.1 200 OK\r\n%sTransfer-Encoding: Chunked\r\n\r\n003\r\nwho\r\n2;a;b=c; d = \"e;\\\"\"\r\nle\r\n"
                        + "000\r\nX-Trailer: a\r\n\r\n",
                "HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\nA\r\nwholewhole\r\n0;last\r\n\r\n");
        for (String form : forms) {
            answerCallers((request, connection, out) -> out.write(BrokenAnswer.bytes(form, request)));
            CallerReply reply = exchange("/unsafe/x", "form" + forms.indexOf(form));
            Assert.assertEquals(reply.status(), 200, form + reply);
            Assert.assertTrue(reply.body().startsWith("whole"), form + reply);
        }
    }

    /**
     * Bytes behind a complete answer belong to no request, whether they arrive with it or later. Those that arrive
     * after the next request was sent on the connection spoil its answer.
     */
    @Test
    public void bytesBehindAnAnswerReachNoCaller() throws Exception {
        for (String extra :
                List.of("x", "\r\n", "HTTP/1.1 200 OK\r\nServer-Stamp: other\r\nContent-Length: 5\r\n\r\nother")) {
            answerCallers((request, connection, out) -> {
                out.write(ScriptedServer.okResponse(request, request.header("request-id")));
                RelayFixture.send(connection, extra);
            });
            for (int number = 0; number < 5; number++) {
                String id = "extra" + number;
                CallerReply reply = exchange("/unsafe/x", id);
                Assert.assertTrue(reply.body().equals(id) || reply.status() == 502, reply.toString());
            }
        }
    }

    private CallerReply exchange(String path, String id) throws IOException {
        try (Socket caller = relay.connect()) {
            RelayFixture.send(caller, RelayFixture.postRequest(path, id, "", "b"));
            InputStream in = new BufferedInputStream(caller.getInputStream());
            return CallerReply.read(in);
        }
    }

    private long arrivals(String id) {
        return servers.stream()
                .flatMap(server -> server.requests().stream())
                .filter(request -> request.header("request-id").equals(id))
                .count();
    }

    /** Answers the requests of callers by a script, and polls well. */
    private void answerCallers(Script answer) {
        Script script = (request, connection, out) -> {
            if (request.header("request-id").isEmpty()) {
                answerWell(request, connection, out);
            } else {
                answer.serve(request, connection, out);
            }
        };
        servers.forEach(server -> server.setScript(script));
    }

    private static void answerWell(Request request, Socket connection, OutputStream out) throws IOException {
        out.write(ScriptedServer.okResponse(request, "{}"));
    }
}
