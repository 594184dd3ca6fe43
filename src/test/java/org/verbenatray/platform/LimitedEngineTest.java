package org.verbenatray.platform;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.testng.Assert;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.Test;
import org.verbenatray.platform.RelayFixture.ServerListing;
import org.verbenatray.platform.ScriptedServer.Request;

/** Engines that state the number of requests a second that they take. */
public final class LimitedEngineTest {
    private static final String LIMIT_OF_ONE = "Server-Limit: 1\r\n";

    private static final String LONG_PROMPT = "Token-Count: 9000,5\r\nPrompt-Prefix: ab:8000,cd:1000\r\n";

    private static final String SHORT_PROMPT = "Token-Count: 35,5\r\n";

    /** The time for which an engine prefills a long prompt, in milliseconds. */
    private static final long PREFILL_MILLIS = 100;

    private ScriptedServer limited;
    private ScriptedServer other;
    private RelayFixture relay;
    private int requestNumber;

    private void start(String otherStage) throws Exception {
        limited = ScriptedServer.start((request, connection, out) -> serve(request, out, LIMIT_OF_ONE));
        other = ScriptedServer.start((request, connection, out) -> serve(request, out, ""));
        relay = RelayFixture.startReady(
                ServerListing.engine("e1", "decode", limited), ServerListing.engine("e2", otherStage, other));
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws Exception {
        relay.close();
        limited.close();
        other.close();
    }

    @Test
    public void anEngineThatStatesALimitGetsNoMoreAndTheOthersServeTheRest() throws Exception {
        start("decode");
        for (int request = 0; request < 60; request++) {
            String response = send(SHORT_PROMPT);
            Assert.assertTrue(response.contains("done"), response);
        }
        int allowed = LimitedServer.allowedInWindow(1);
        Assert.assertTrue(postCount(limited) <= allowed, "requests: " + postCount(limited));
    }

    @Test
    public void requestsThatOnlyLimitedEnginesCouldServeAreRejectedAsNotRun() throws Exception {
        start("prefill");
        Assert.assertTrue(send(SHORT_PROMPT).contains("done"));
        String response = send(SHORT_PROMPT);
        Assert.assertTrue(response.startsWith("HTTP/1.1 503"), response);
        Assert.assertTrue(response.contains("server_limits") && response.contains("Retry-After: "), response);
        Assert.assertEquals(postCount(limited), 1);
    }

    /** The place that both had in view when their prefill began was taken by the first. */
    @Test
    public void aPrefilledPromptWaitsForAPlaceAtALimitedEngine() throws Exception {
        start("prefill");
        Assert.assertTrue(send(SHORT_PROMPT).contains("done"));
        TimeUnit.MILLISECONDS.sleep(1_100);
        List<CompletableFuture<String>> responses = List.of(sendAsync(), sendAsync());
        for (CompletableFuture<String> response : responses) {
            Assert.assertTrue(response.get().contains("done"), response.get());
        }
    }

    private CompletableFuture<String> sendAsync() {
        String request = request(LONG_PROMPT);
        return CompletableFuture.supplyAsync(() -> {
            try {
                return relay.exchange(request);
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        });
    }

    private String send(String prompt) throws IOException {
        return relay.exchange(request(prompt));
    }

    private String request(String prompt) {
        requestNumber++;
        return RelayFixture.postRequest("/resume/x", "id" + requestNumber, prompt, "body" + requestNumber);
    }

    private static long postCount(ScriptedServer engine) {
        return engine.requests().stream()
                .filter(request -> request.line().startsWith("POST"))
                .count();
    }

    private static void serve(Request request, OutputStream out, String limitHeader) throws IOException {
        if (request.line().startsWith("GET")) {
            out.write(ScriptedServer.response(request, 200, "", "{\"seq\":0}"));
        } else if (request.header("serving-stage").equals("prefill")) {
            try {
                TimeUnit.MILLISECONDS.sleep(PREFILL_MILLIS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            out.write(ScriptedServer.response(request, 200, "", "{\"kvHandle\":\"h\",\"tokens\":9000,\"version\":1}"));
        } else {
            String head = new String(ScriptedServer.streamHead(request), StandardCharsets.ISO_8859_1);
            out.write(head.replace("\r\n\r\n", "\r\n" + limitHeader + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
            out.write(ScriptedServer.eventChunk(1, "done"));
            out.write(ScriptedServer.lastChunk());
        }
    }
}
