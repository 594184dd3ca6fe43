package org.verbenatray.platform;

import java.net.URI;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.verbenatray.platform.ScriptedServer.Script;
import org.verbenatray.servers.BufferedResponse;
import org.verbenatray.servers.HttpCall;
import org.verbenatray.servers.ServerFailure;
import org.verbenatray.time.Deadline;

/** Where the answers end that are collected whole: those to status checks, orders, polls and the store. */
public final class AnswerEndTest extends EventLoopTest {
    private static final int MAX_BODY_BYTES = 64 * 1024;

    @DataProvider
    public Object[] brokenAnswers() {
        return BrokenAnswer.values();
    }

    @Test(dataProvider = "brokenAnswers")
    public void aBrokenAnswerIsNoAnswerToAnyCall(BrokenAnswer answer) throws Exception {
        for (boolean closes : List.of(true, false)) {
            try (ScriptedServer server = ScriptedServer.start(answer.script(closes))) {
                ServerFailure failure = failureOf(call("GET", server));
                Assert.assertEquals(failure.kind(), ServerFailure.Kind.BAD_RESPONSE, failure.toString());
                Assert.assertEquals(server.requests().size(), 1, "the call must not be repeated");
            }
        }
    }

    /**
     * Methods and heads of answers that have no body whatever their fields say, what follows the head, and whether the
     * connection is used again.
     */
    @DataProvider
    public Object[][] answersWithoutBody() {
        return new Object[][] {
            {"GET", "HTTP/1.1 204 None\r\n\r\n", "", true},
            {"GET", "HTTP/1.1 204 None\r\nContent-Length: 5\r\n\r\n", "", false},
            {"GET", "HTTP/1.1 204 None\r\nTransfer-Encoding: chunked\r\n\r\n", "", false},
            {"GET", "HTTP/1.1 204 None\r\nContent-Length: 5\r\n\r\n", "whole", false},
            {"GET", "HTTP/1.1 304 Same\r\n\r\n", "", true},
            {"GET", "HTTP/1.1 304 Same\r\nContent-Length: 5\r\n\r\n", "", false},
            {"GET", "HTTP/1.1 304 Same\r\nTransfer-Encoding: chunked\r\n\r\n", "", false},
            {"GET", "HTTP/1.1 304 Same\r\nContent-Length: 5\r\n\r\n", "whole", false},
            {"HEAD", "HTTP/1.1 200 OK\r\n\r\n", "", true},
            {"HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", "", true},
            {"HEAD", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "", true},
            {"HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", "whole", false},
        };
    }

    @Test(dataProvider = "answersWithoutBody")
    public void anAnswerWithoutBodyEndsWithItsHead(String method, String head, String rest, boolean isKept)
            throws Exception {
        Script script = (request, connection, out) -> RelayFixture.send(connection, head + rest);
        try (ScriptedServer server = ScriptedServer.start(script)) {
            for (int number = 0; number < 3; number++) {
                Assert.assertEquals(
                        call(method, server)
                                .get(TIMEOUT_SECONDS, TimeUnit.SECONDS)
                                .body()
                                .length,
                        0);
            }
            Assert.assertEquals(server.connectionCount(), isKept ? 1 : 3, "connections");
        }
    }

    /** Heads after which a connection may be used again or not. */
    @DataProvider
    public Object[][] heads() {
        return new Object[][] {
            {"HTTP/1.1 200 OK\r\n", true},
            {"HTTP/1.1 200 OK\r\nConnection: keep-alive\r\n", true},
            {"HTTP/1.1 200 OK\r\nConnection: close\r\n", false},
            {"HTTP/1.1 200 OK\r\nConnection: x, Close\r\n", false},
            {"HTTP/1.1 200 OK\r\nConnection: x\r\nConnection: close\r\n", false},
            {"HTTP/1.0 200 OK\r\n", false},
            {"HTTP/1.0 200 OK\r\nConnection: Keep-Alive\r\n", true},
        };
    }

    @Test(dataProvider = "heads")
    public void aConnectionIsUsedAgainOnlyIfTheAnswerAllowsIt(String head, boolean isKept) throws Exception {
        Script script =
                (request, connection, out) -> RelayFixture.send(connection, head + "Content-Length: 2\r\n\r\nok");
        try (ScriptedServer server = ScriptedServer.start(script)) {
            for (int number = 0; number < 3; number++) {
                Assert.assertEquals(
                        call("GET", server)
                                .get(TIMEOUT_SECONDS, TimeUnit.SECONDS)
                                .text(),
                        "ok");
            }
            Assert.assertEquals(server.connectionCount(), isKept ? 1 : 3, "connections");
        }
    }

    private CompletableFuture<BufferedResponse> call(String method, ScriptedServer server) {
        URI address = URI.create("http://" + server.address());
        Deadline deadline = Deadline.afterMillis(loop().ticker().nanos(), TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS));
        HttpCall call = HttpCall.create(method, address, "/x", Map.of(), new byte[0]);
        return loop().transport().call(call, loop().thread(), deadline, MAX_BODY_BYTES);
    }
}
