package org.verbenatray.platform;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.Assert;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.verbenatray.platform.ScriptedServer.Request;
import org.verbenatray.platform.ScriptedServer.Script;

/** Engines that send something else in place of the first event of a stream, and then break off or go on. */
public final class TextBeforeEventsTest {
    private static final String SHORT = "Token-Count: 10,5\r\nPrompt-Prefix: ab:10\r\n";

    private static final String TEXT = "internal error: out of memory\n\n";

    private static final String EVENTS = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";

    /** The pause between two events of a stream without an end. */
    private static final long EVENT_PAUSE_MILLIS = 20;

    /** The number of requests for a generation that engines have received. */
    private final AtomicInteger generations = new AtomicInteger();

    private volatile Script first;

    private volatile Script later;

    private EnginePair engines;

    @BeforeMethod
    public void start() throws Exception {
        generations.set(0);
        engines = EnginePair.start(engine -> this::serve);
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws Exception {
        engines.close();
    }

    /** What an engine sends in place of the first event. */
    @DataProvider
    public Object[][] texts() {
        return new Object[][] {
            {TEXT},
            {"{\"error\":\"out of memory\"}\n\n"},
            {"data: out of memory\n\n"},
            {"event: error\ndata: out of memory\n\n"},
            {TEXT + TEXT},
            {TEXT.replace("\n", "\r\n")},
            {"id: none\ndata: out of memory\n\n"},
            {": out of memory\n\n"},
        };
    }

    /** Callers got the text of one run and the whole stream of another as one complete answer (review/8). */
    @Test(dataProvider = "texts")
    public void aTextAfterWhichTheEngineBreaksOffIsNotJoinedWithTheStreamOfAnother(String text) throws Exception {
        first = StreamScripts.brokenOff(text);
        later = StreamScripts.whole(EVENTS);
        CallerReply reply = call();
        Assert.assertTrue(reply.whole(), reply.toString());
        Assert.assertEquals(reply.body(), EVENTS);
    }

    /** Without chunks the end of the connection looked like the whole end of a stream of one text. */
    @Test
    public void aTextBeforeTheEndOfTheConnectionIsNoWholeStream() throws Exception {
        first = (request, connection, out) -> {
            out.write(ScriptedServer.streamHeadWithoutLength(request));
            out.write(TEXT.getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
            connection.close();
        };
        later = StreamScripts.whole(EVENTS);
        CallerReply reply = call();
        Assert.assertTrue(reply.whole(), reply.toString());
        Assert.assertEquals(reply.body(), EVENTS);
    }

    /** The rest of a stream behind a text was joined with the events of another engine. */
    @Test
    public void aStreamThatBeganWithATextIsNotTakenUpElsewhere() throws Exception {
        first = StreamScripts.brokenOff(TEXT + "id: 1\ndata: a\n\n");
        later = StreamScripts.whole("id: 2\ndata: b\n\n");
        CallerReply reply = call();
        Assert.assertFalse(reply.whole(), reply.toString());
        Assert.assertEquals(generations.get(), 1);
    }

    /** Texts that go on for longer than they are kept back were joined with the stream of another engine. */
    @Test
    public void textsThatWerePassedOnAreNotJoinedWithTheStreamOfAnother() throws Exception {
        CountDownLatch passedOn = new CountDownLatch(1);
        first = (request, connection, out) -> {
            out.write(ScriptedServer.streamHead(request));
            writeTextsUntil(passedOn, out);
            connection.close();
        };
        later = StreamScripts.whole(EVENTS);
        try (Socket caller = engines.open("id1", SHORT)) {
            BufferedInputStream in = new BufferedInputStream(caller.getInputStream());
            in.mark(1);
            Assert.assertTrue(in.read() >= 0);
            in.reset();
            passedOn.countDown();
            CallerReply reply = CallerReply.read(in);
            Assert.assertFalse(reply.whole(), reply.toString());
            Assert.assertFalse(reply.body().contains("id: "), reply.body());
        }
    }

    /** A comment alone counted as the rest of a stream, which then ended as complete before its last event. */
    @Test
    public void aCommentIsNoRestOfAStream() throws Exception {
        first = StreamScripts.brokenOff("id: 1\ndata: a\n\n");
        later = StreamScripts.whole(": out of memory\n\n");
        CallerReply reply = call();
        Assert.assertFalse(reply.whole(), reply.toString());
        Assert.assertEquals(reply.body(), "id: 1\ndata: a\n\n");
    }

    @Test
    public void theRestOfAStreamMayBeginWithAComment() throws Exception {
        first = StreamScripts.brokenOff("id: 1\ndata: a\n\n");
        later = StreamScripts.whole(": going on\n\nid: 2\ndata: b\n\n");
        CallerReply reply = call();
        Assert.assertTrue(reply.whole(), reply.toString());
        Assert.assertEquals(reply.body(), "id: 1\ndata: a\n\n: going on\n\nid: 2\ndata: b\n\n");
    }

    /** Whole streams of sound engines, whose first event has no id or none that is a number. */
    @DataProvider
    public Object[][] soundStreams() {
        return new Object[][] {
            {TEXT + EVENTS},
            {": connected\n\n" + EVENTS},
            {"event: start\ndata: {}\n\n" + EVENTS},
            {TEXT},
            {"data: a\n\ndata: b\n\ndata: [DONE]\n\n"},
            {"id: x\ndata: a\n\nid: y\ndata: b\n\n"},
        };
    }

    @Test(dataProvider = "soundStreams")
    public void theWholeStreamOfOneEnginePassesAsItIs(String stream) throws Exception {
        first = StreamScripts.whole(stream);
        later = StreamScripts.whole(EVENTS);
        CallerReply reply = call();
        Assert.assertTrue(reply.whole(), reply.toString());
        Assert.assertEquals(reply.body(), stream);
        Assert.assertEquals(generations.get(), 1);
    }

    /** An engine whose events have no ids is read as it generates, not at its end. */
    @Test
    public void eventsWithoutIdsAreNotKeptBackUntilTheEndOfTheStream() throws Exception {
        CountDownLatch read = new CountDownLatch(1);
        first = (request, connection, out) -> {
            out.write(ScriptedServer.streamHead(request));
            writeTextsUntil(read, out);
            out.write(ScriptedServer.lastChunk());
        };
        try (Socket caller = engines.open("id1", SHORT)) {
            BufferedInputStream in = new BufferedInputStream(caller.getInputStream());
            in.mark(1);
            Assert.assertTrue(in.read() >= 0);
            in.reset();
            read.countDown();
            Assert.assertTrue(CallerReply.read(in).whole());
        }
    }

    private CallerReply call() throws IOException {
        try (Socket caller = engines.open("id1", SHORT)) {
            return CallerReply.read(new BufferedInputStream(caller.getInputStream()));
        }
    }

    private void serve(Request request, Socket connection, OutputStream out) throws IOException {
        if (generations.incrementAndGet() == 1) {
            first.serve(request, connection, out);
        } else {
            later.serve(request, connection, out);
        }
    }

    /** Writes one text after another until the latch opens. */
    private static void writeTextsUntil(CountDownLatch latch, OutputStream out) throws IOException {
        try {
            do {
                out.write(ScriptedServer.chunk(TEXT));
                out.flush();
            } while (!latch.await(EVENT_PAUSE_MILLIS, TimeUnit.MILLISECONDS));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
