package org.verbenatray.platform;

import java.net.URI;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.testng.Assert;
import org.testng.annotations.Test;
import org.verbenatray.instance.EventLoop;
import org.verbenatray.servers.ConnectionUse;
import org.verbenatray.servers.HttpCall;
import org.verbenatray.servers.ResponseListener;
import org.verbenatray.servers.ServerFailure;
import org.verbenatray.time.Deadline;
import org.verbenatray.time.Ticker;

/** Exchanges that are cancelled before their request is written. */
public final class CancelledExchangeTest {
    private static final int TIMEOUT_SECONDS = 20;

    @Test
    public void aRequestThatIsCancelledOnItsThreadBeforeItIsSentIsNeverSent() throws Exception {
        try (ScriptedServer server = ScriptedServer.start(
                        (request, connection, out) -> out.write(ScriptedServer.okResponse(request, "ok")));
                EventLoop loop = EventLoop.start(Ticker.system())) {
            get(loop, server, "/first");
            CompletableFuture<Void> cancelled = new CompletableFuture<>();
            loop.thread().execute(() -> {
                loop.transport()
                        .exchange(call(server, "/cancelled"), loop.thread(), new IgnoringListener())
                        .cancel();
                cancelled.complete(null);
            });
            cancelled.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
            get(loop, server, "/last");
            Assert.assertEquals(
                    server.requests().stream().map(ScriptedServer.Request::line).toList(),
                    List.of("GET /first HTTP/1.1", "GET /last HTTP/1.1"));
        }
    }

    private static void get(EventLoop loop, ScriptedServer server, String path) throws Exception {
        Deadline deadline = Deadline.afterMillis(loop.ticker().nanos(), TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS));
        loop.transport()
                .call(call(server, path), loop.thread(), deadline, 1_024)
                .get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    private static HttpCall call(ScriptedServer server, String path) {
        return HttpCall.create("GET", URI.create("http://" + server.address()), path, Map.of(), new byte[0])
                .withConnection(ConnectionUse.POOLED, "pool");
    }

    /** Ignores a response. */
    private static final class IgnoringListener implements ResponseListener {
        @Override
        public void onBody(ByteBuffer part) {}

        @Override
        public void onEnd() {}

        @Override
        public void onFailure(ServerFailure failure) {}
    }
}
