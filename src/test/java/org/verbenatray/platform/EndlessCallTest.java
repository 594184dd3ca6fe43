package org.verbenatray.platform;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.verbenatray.platform.EndlessAnswer.EndlessScript;
import org.verbenatray.servers.BufferedResponse;
import org.verbenatray.servers.HttpCall;
import org.verbenatray.servers.ServerFailure;
import org.verbenatray.time.Deadline;

/** Answers without end to the calls whose whole response is collected: reports, orders, status checks, the store. */
public final class EndlessCallTest extends EventLoopTest {
    /** The largest limit of a collected response: that of the store. */
    private static final int MAX_BODY_BYTES = 8 * 1024 * 1024;

    private static final long DEADLINE_MILLIS = 15_000;

    @DataProvider
    public Object[] answers() {
        return EndlessAnswer.values();
    }

    @Test(dataProvider = "answers")
    public void anEndlessAnswerEndsAsBadAndItsConnectionIsClosed(EndlessAnswer answer) throws Exception {
        EndlessScript script = answer.script();
        try (ScriptedServer server = ScriptedServer.start(script)) {
            ServerFailure failure = failureOf(call(server));
            Assert.assertEquals(failure.kind(), ServerFailure.Kind.BAD_RESPONSE, failure.toString());
            RelayFixture.waitUntil(() -> script.closedByPeer() == 1);
            Assert.assertEquals(script.started(), 1, "the call must not be repeated");
        }
    }

    @Test(dataProvider = "answers")
    public void otherCallsAreServedBesideAnEndlessAnswer(EndlessAnswer answer) throws Exception {
        EndlessScript script = answer.script();
        try (ScriptedServer endless = ScriptedServer.start(script);
                ScriptedServer ordinary = ScriptedServer.start(
                        (request, connection, out) -> out.write(ScriptedServer.okResponse(request, "ok")))) {
            CompletableFuture<BufferedResponse> bad = call(endless);
            RelayFixture.waitUntil(() -> script.writtenBytes() > 0);
            do {
                Assert.assertEquals(call(ordinary).get(20, TimeUnit.SECONDS).text(), "ok");
            } while (!bad.isDone());
            failureOf(bad);
        }
    }

    @Test
    public void aBodyInChunksOfOneByteIsReadWhole() throws Exception {
        int bodyBytes = 200_000;
        byte[] chunks = "1\r\nb\r\n".repeat(bodyBytes).getBytes(StandardCharsets.ISO_8859_1);
        try (ScriptedServer server = ScriptedServer.start((request, connection, out) -> {
            out.write(ScriptedServer.streamHead(request));
            out.write(chunks);
            out.write(ScriptedServer.lastChunk());
        })) {
            Assert.assertEquals(call(server).get(20, TimeUnit.SECONDS).body().length, bodyBytes);
        }
    }

    @Test
    public void aHeadOfHalfTheBoundIsRead() throws Exception {
        String header = "X-Long: " + "v".repeat(16 * 1024) + "\r\n";
        try (ScriptedServer server = ScriptedServer.start(
                (request, connection, out) -> out.write(ScriptedServer.response(request, 200, header, "ok")))) {
            Assert.assertEquals(call(server).get(20, TimeUnit.SECONDS).text(), "ok");
            Assert.assertEquals(call(server).get(20, TimeUnit.SECONDS).text(), "ok");
            RelayFixture.waitUntil(() -> server.requests().size() == 2);
            Assert.assertEquals(server.connectionCount(), 1, "the bound holds for each response of a connection");
        }
    }

    private CompletableFuture<BufferedResponse> call(ScriptedServer server) {
        HttpCall call = HttpCall.withoutBody("GET", "http://" + server.address(), "/x");
        Deadline deadline = Deadline.afterMillis(loop().ticker().nanos(), DEADLINE_MILLIS);
        return loop().transport().call(call, loop().thread(), deadline, MAX_BODY_BYTES);
    }
}
