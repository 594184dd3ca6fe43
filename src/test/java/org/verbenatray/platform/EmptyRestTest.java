package org.verbenatray.platform;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import org.testng.Assert;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.verbenatray.platform.ScriptedServer.Request;
import org.verbenatray.platform.ScriptedServer.Script;

/**
 * Streams whose rest is asked for and comes without an event: either nothing was left of the stream, and it must end as
 * complete, or the engine has lost the rest, and the stream must not look complete.
 */
public final class EmptyRestTest {
    private static final String FIVE_TOKENS = "Token-Count: 10,5\r\nPrompt-Prefix: ab:10\r\n";

    private static final String TWO_TOKENS = "Token-Count: 10,2\r\nPrompt-Prefix: ab:10\r\n";

    private static final String LAST_EVENT_ID = "last-event-id";

    private static final String FIRST_EVENT = "id: 1\ndata: a\n\n";

    private static final String EVENTS = FIRST_EVENT + "id: 2\ndata: b\n\n";

    private static final String COMMENT = ": nothing left\n\n";

    private static final String EVENT_STREAM = "Content-Type: text/event-stream\r\n";

    /** The requests for a generation that engines have received, in order. */
    private final List<Arrival> arrivals = new ArrayList<>();

    /** Serves the first request for a generation. */
    private volatile Script beginning;

    /** Serves the others. */
    private volatile Script rest;

    private EnginePair engines;

    @BeforeMethod
    public void start() throws Exception {
        arrivals.clear();
        engines = EnginePair.start(engine -> (request, connection, out) -> serve(engine, request, connection, out));
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws Exception {
        engines.close();
    }

    /** The ways in which an engine says that it has nothing to send, by name. */
    @DataProvider
    public Object[][] emptyAnswers() {
        return new Object[][] {
            {"a last chunk", StreamScripts.whole("")},
            {"a length of zero", response(200, EVENT_STREAM)},
            {"a length of zero of no type", response(200, "")},
            {"no content", noContent()},
            {"a comment", StreamScripts.whole(COMMENT)},
            {"the end of the connection", StreamScripts.headAndEndOfConnection()},
        };
    }

    /** Callers lost streams of which all events had come: the empty rest was taken for broken (review/10). */
    @Test(dataProvider = "emptyAnswers")
    public void aStreamOfWhichNothingWasLeftIsComplete(String name, Script nothing) throws Exception {
        beginning = StreamScripts.brokenOff(EVENTS);
        rest = soundEngine(nothing);
        CallerReply reply = call("id1", FIVE_TOKENS);
        Assert.assertTrue(reply.whole(), reply.toString());
        Assert.assertEquals(withoutComments(reply), EVENTS);
        Assert.assertEquals(resumedAfter(), List.of("2", "1"));
        Assert.assertEquals(arrivals.get(2).engine(), arrivals.get(1).engine(), "the engine that was asked again");
    }

    /** A stream ended as complete before its last event where an engine sent nothing of the rest (ORDER). */
    @Test(dataProvider = "emptyAnswers")
    public void aStreamWhoseRestWasLostIsNotComplete(String name, Script nothing) throws Exception {
        beginning = StreamScripts.brokenOff(EVENTS);
        rest = nothing;
        CallerReply reply = call("id1", FIVE_TOKENS);
        Assert.assertFalse(reply.whole(), reply.toString());
        Assert.assertEquals(withoutComments(reply), EVENTS);
    }

    /** The caller's own request for the rest of a stream ended as complete before the last event. */
    @Test(dataProvider = "emptyAnswers")
    public void aCallerThatAsksForALostRestDoesNotGetACompleteStream(String name, Script nothing) throws Exception {
        CallerReply reply = callerAsksForRest(nothing);
        Assert.assertEquals(reply.status(), 502, reply.toString());
        Assert.assertEquals(resumedAfter().subList(0, 2), List.of("2", "1"));
    }

    @Test(dataProvider = "emptyAnswers")
    public void aCallerThatHasAllEventsGetsTheAnswerOfTheEngine(String name, Script nothing) throws Exception {
        CallerReply reply = callerAsksForRest(soundEngine(nothing));
        Assert.assertTrue(reply.whole() && reply.status() < 300, reply.toString());
        Assert.assertEquals(withoutComments(reply), "");
        Assert.assertEquals(resumedAfter(), List.of("2", "1"));
    }

    /** A stream was cut whose engine was full for a moment when it was asked whether the stream had ended. */
    @Test
    public void anEngineThatIsFullIsAskedAgainWhetherTheStreamHasEnded() throws Exception {
        beginning = StreamScripts.brokenOff(EVENTS);
        Script sound = soundEngine(StreamScripts.whole(""));
        AtomicBoolean refused = new AtomicBoolean();
        rest = (request, connection, out) -> {
            boolean refuses = request.header(LAST_EVENT_ID).equals("1") && refused.compareAndSet(false, true);
            (refuses ? response(503, "Not-Run: 1\r\n") : sound).serve(request, connection, out);
        };
        CallerReply reply = call("id1", FIVE_TOKENS);
        Assert.assertTrue(reply.whole(), reply.toString());
        Assert.assertEquals(reply.body(), EVENTS);
        Assert.assertEquals(resumedAfter(), List.of("2", "1", "1"));
    }

    @Test
    public void nothingIsAskedAgainOnceAllTokensOfTheRequestHaveCome() throws Exception {
        beginning = StreamScripts.brokenOff(EVENTS);
        rest = soundEngine(StreamScripts.whole(""));
        CallerReply reply = call("id1", TWO_TOKENS);
        Assert.assertTrue(reply.whole(), reply.toString());
        Assert.assertEquals(reply.body(), EVENTS);
        Assert.assertEquals(resumedAfter(), List.of("2"));
    }

    @Test
    public void aStreamOfOneEventIsAskedForFromItsBeginning() throws Exception {
        beginning = StreamScripts.brokenOff(FIRST_EVENT);
        rest = (request, connection, out) -> {
            boolean again = request.header(LAST_EVENT_ID).isEmpty();
            StreamScripts.whole(again ? FIRST_EVENT : "").serve(request, connection, out);
        };
        CallerReply reply = call("id1", FIVE_TOKENS);
        Assert.assertTrue(reply.whole(), reply.toString());
        Assert.assertEquals(reply.body(), FIRST_EVENT);
        Assert.assertEquals(resumedAfter(), List.of("1", ""));
    }

    /** Ways in which the first engine fails behind the last event, by name. */
    @DataProvider
    public Object[][] lostEnds() {
        return new Object[][] {
            {"cut inside the last chunk", StreamScripts.brokenOff(EVENTS, "0\r")},
            {"cut inside a chunk", StreamScripts.brokenOff(EVENTS, "5\r\n")},
            {"silent", silentBehind(EVENTS)},
        };
    }

    @Test(dataProvider = "lostEnds")
    public void howTheEndWasLostMakesNoDifference(String name, Script lostEnd) throws Exception {
        beginning = lostEnd;
        rest = soundEngine(StreamScripts.whole(""));
        CallerReply reply = call("id1", FIVE_TOKENS);
        Assert.assertTrue(reply.whole(), reply.toString());
        Assert.assertEquals(reply.body(), EVENTS);
    }

    /** What an engine sends that has sent nothing behind event 2 and is asked for the stream behind event 1. */
    @DataProvider
    public Object[][] contradictions() {
        return new Object[][] {
            {"the stream goes on", StreamScripts.whole("id: 2\ndata: b\n\nid: 3\ndata: c\n\n")},
            {"another event", StreamScripts.whole("id: 3\ndata: c\n\n")},
            {"the stream from its beginning", StreamScripts.whole(EVENTS)},
            {"a text", StreamScripts.whole("internal error\n\n")},
            {"an event without an id", StreamScripts.whole("data: b\n\n")},
            {"half of the event", StreamScripts.whole("id: 2\ndata")},
            {"the event, and the end of the connection", StreamScripts.brokenOff("id: 2\ndata: b\n\n")},
            {"a failure", response(500, "")},
        };
    }

    @Test(dataProvider = "contradictions")
    public void anEngineThatDoesNotShowTheEndIsNotBelieved(String name, Script contradiction) throws Exception {
        beginning = StreamScripts.brokenOff(EVENTS);
        rest = (request, connection, out) -> {
            Script answer = request.header(LAST_EVENT_ID).equals("2") ? StreamScripts.whole("") : contradiction;
            answer.serve(request, connection, out);
        };
        CallerReply reply = call("id1", FIVE_TOKENS);
        Assert.assertFalse(reply.whole(), reply.toString());
        Assert.assertEquals(reply.body(), EVENTS);
    }

    @Test
    public void anEngineThatEndedAStreamTruthfullyIsNotAvoided() throws Exception {
        beginning = StreamScripts.brokenOff(EVENTS);
        rest = soundEngine(StreamScripts.whole(""));
        call("id1", FIVE_TOKENS);
        int sound = arrivals.get(2).engine();
        rest = StreamScripts.whole(EVENTS);
        call("id2", FIVE_TOKENS);
        Assert.assertEquals(arrivals.get(arrivals.size() - 1).engine(), sound);
    }

    /** Lets a caller get a stream whole and ask for what follows its last event in a request of its own. */
    private CallerReply callerAsksForRest(Script engine) throws IOException {
        beginning = StreamScripts.whole(EVENTS);
        rest = engine;
        call("id0", FIVE_TOKENS);
        return call("id1", FIVE_TOKENS + "Last-Event-Id: 2\r\nResumes: id0\r\n");
    }

    private CallerReply call(String id, String headers) throws IOException {
        try (Socket caller = engines.open(id, headers)) {
            return CallerReply.read(new BufferedInputStream(caller.getInputStream()));
        }
    }

    /** Returns the ids after which engines were asked for the rest of a stream, in order. */
    private List<String> resumedAfter() {
        return arrivals.stream().skip(1).map(Arrival::lastEventId).toList();
    }

    private static String withoutComments(CallerReply reply) {
        return reply.body().replace(COMMENT, "");
    }

    private void serve(int engine, Request request, Socket connection, OutputStream out) throws IOException {
        boolean first;
        synchronized (arrivals) {
            first = arrivals.isEmpty();
            arrivals.add(new Arrival(engine, request.header(LAST_EVENT_ID)));
        }
        (first ? beginning : rest).serve(request, connection, out);
    }

    /** Returns the script of a sound engine, which answers as given where nothing is left behind the last event. */
    private static Script soundEngine(Script nothing) {
        return (request, connection, out) -> {
            Script answer =
                    request.header(LAST_EVENT_ID).equals("2") ? nothing : StreamScripts.whole("id: 2\ndata: b\n\n");
            answer.serve(request, connection, out);
        };
    }

    private static Script silentBehind(String events) {
        return (request, connection, out) -> {
            out.write(ScriptedServer.streamHead(request));
            out.write(ScriptedServer.chunk(events));
        };
    }

    private static Script response(int status, String headers) {
        return (request, connection, out) ->
                out.write(ScriptedServer.response(request, status, "Server-Stamp: mark\r\n" + headers, ""));
    }

    private static Script noContent() {
        return (request, connection, out) -> out.write(("HTTP/1.1 204 No Content\r\nRequest-Id: "
                        + request.header("request-id") + "\r\nServer-Stamp: mark\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1));
    }

    /**
     * A request for a generation that an engine has received.
     *
     * @param engine the number of the engine
     * @param lastEventId the id after which the stream is to go on; empty for the whole stream
     */
    private record Arrival(int engine, String lastEventId) {}
}
