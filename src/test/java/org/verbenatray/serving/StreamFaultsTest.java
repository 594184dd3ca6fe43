package org.verbenatray.serving;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.verbenatray.demo.EmbeddedDeployment;
import org.verbenatray.demo.EmbeddedDeployment.Shape;
import org.verbenatray.instance.EntryInstance;
import org.verbenatray.processes.Await;
import org.verbenatray.processes.HttpCaller;
import org.verbenatray.standin.EngineFaults;
import org.verbenatray.standin.EngineServer;
import org.verbenatray.standin.engine.TokenText;

/** Tests streams through an entry instance while engines and connections fail. */
public final class StreamFaultsTest {
    private static final int TOKENS = 60;

    /** More than the time for which a request that has not begun waits for an engine, in milliseconds. */
    private static final long LONG_RESTART_MILLIS = 8_000;

    private final HttpCaller caller = HttpCaller.withKey(EmbeddedDeployment.API_KEY);
    private EmbeddedDeployment deployment;

    @BeforeMethod
    public void start() throws Exception {
        deployment = EmbeddedDeployment.start(Shape.small());
    }

    @AfterMethod
    public void stop() {
        deployment.close();
    }

    @Test
    public void aStalledStreamIsResumedOnANewConnectionWithoutLossOrRepetition() {
        List<CompletableFuture<HttpResponse<String>>> responses = sendAll(8, 300);
        Await.until(() -> dispatches() == 8);
        engines().forEach(EngineServer::silenceOpenResponses);
        assertAllComplete(responses, 300);
        assertTrue(deployment.entries().get(0).metricsText().contains("{kind=\"resumed\"} 8"));
        assertEquals(dispatches(), 8);
    }

    @Test
    public void lostRepeatedAndForeignChunksAndBrokenConnectionsDoNotReachTheCaller() {
        engines().forEach(engine -> engine.setFaults(EngineFaults.none().withDamagedLines(17, 5, 7, 23)));
        assertAllComplete(sendAll(8, TOKENS), TOKENS);
    }

    @Test
    public void aStreamContinuesOnAnotherEngineAfterItsEngineCrashes() {
        List<CompletableFuture<HttpResponse<String>>> responses = sendAll(40, 200);
        Await.until(() -> dispatches() == 40);
        Await.until(() ->
                engines().stream().mapToLong(EngineServer::generatedTokens).sum() > 40 * 30);
        engines().get(0).crash();
        assertAllComplete(responses, 200);
    }

    @Test
    public void streamsWaitForAnEngineToRestartWhenAllHaveCrashed() {
        List<CompletableFuture<HttpResponse<String>>> responses = sendAll(8, 100);
        Await.until(() -> dispatches() == 8);
        Await.until(() ->
                engines().stream().mapToLong(EngineServer::generatedTokens).sum() > 8 * 30);
        engines().forEach(EngineServer::crash);
        assertAllComplete(responses, 100);
    }

    @Test
    public void streamsThatHaveBegunWaitForEnginesThatTakeLongToRestart() {
        engines().forEach(engine -> engine.setFaults(EngineFaults.none().withRestartMillis(LONG_RESTART_MILLIS)));
        deployment.entries().forEach(this::awaitReportsOfAllEngines);
        List<CompletableFuture<HttpResponse<String>>> responses = sendAll(2, 100);
        Await.until(() -> dispatches() == 2);
        Await.until(() -> begunResponses() == 2);
        engines().forEach(EngineServer::crash);
        assertAllComplete(responses, 100);
    }

    @Test
    public void aLeavingEngineGetsNoNewDispatchesAndCompletesTheCurrentOnes() {
        List<CompletableFuture<HttpResponse<String>>> before = sendAll(4, 200);
        Await.until(() -> dispatches() == 4);
        EngineServer leaving = engines().get(0);
        leaving.startLeaving();
        long dispatchesBefore = leaving.acceptedDispatches();
        assertAllComplete(sendAll(6, TOKENS), TOKENS);
        assertAllComplete(before, 200);
        assertEquals(leaving.acceptedDispatches(), dispatchesBefore);
    }

    @Test
    public void anEngineThatReportedThatItIsLeavingGetsNoFurtherDispatches() {
        EngineServer leaving = engines().get(0);
        leaving.startLeaving();
        for (int i = 0; i < 10; i++) {
            assertAllComplete(sendAll(1, 2), 2);
        }
        assertTrue(leaving.dispatchAttempts() <= 1, "attempts " + leaving.dispatchAttempts());
    }

    @Test
    public void withoutAnyEngineARequestIsRefusedAtOnceAsNotRunWithARetryDelay() {
        engines().forEach(EngineServer::startLeaving);
        HttpResponse<String> response = sendAll(1, TOKENS).get(0).join();
        assertEquals(response.statusCode(), 503, response.body());
        assertTrue(response.body().contains("\"ran\":\"no\""), response.body());
        assertTrue(response.headers().firstValue("Retry-After").isPresent());
    }

    @Test
    public void aResponseThatCannotBeCompletedDoesNotLookComplete() {
        engines().forEach(engine -> engine.setFaults(EngineFaults.none().withRestartMillis(60_000)));
        CompletableFuture<HttpResponse<String>> response = sendAll(1, 400).get(0);
        Await.until(() -> dispatches() == 1);
        engines().forEach(EngineServer::crash);
        Optional<String> body = response.handle((completed, failure) ->
                        failure == null ? Optional.of(completed.body()) : Optional.<String>empty())
                .join();
        assertFalse(body.orElse("").contains("[DONE]"), body.orElse(""));
    }

    /** Waits until an instance has a load report of each engine. */
    private void awaitReportsOfAllEngines(EntryInstance entry) {
        String noReport = "\"reportAgeMillis\":" + Long.MAX_VALUE;
        Await.until(() -> {
            String state =
                    caller.send("GET", entry.operatorsAddress() + "/state", "").body();
            return state.contains("\"reportAgeMillis\":") && !state.contains(noReport);
        });
    }

    private List<EngineServer> engines() {
        return deployment.engines();
    }

    private long dispatches() {
        return engines().stream().mapToLong(EngineServer::acceptedDispatches).sum();
    }

    /** Returns the number of responses of which the entry instances have relayed the first token. */
    private double begunResponses() {
        return deployment.entries().stream()
                .flatMap(entry -> entry.metricsText().lines())
                .filter(line -> line.startsWith("verbenatray_first_token_seconds_count"))
                .mapToDouble(line -> Double.parseDouble(line.substring(line.lastIndexOf(' '))))
                .sum();
    }

    private List<CompletableFuture<HttpResponse<String>>> sendAll(int count, int tokens) {
        String uri = deployment.entries().get(0).callersAddress() + "/v1/completions";
        List<CompletableFuture<HttpResponse<String>>> responses = new ArrayList<>();
        for (int seed = 0; seed < count; seed++) {
            responses.add(
                    caller.sendAsync("POST", uri, HttpCaller.completionBody("check " + seed, tokens, seed, true)));
        }
        return responses;
    }

    private static void assertAllComplete(List<CompletableFuture<HttpResponse<String>>> responses, int tokens) {
        for (int seed = 0; seed < responses.size(); seed++) {
            String body = responses.get(seed).join().body();
            assertEquals(HttpCaller.textOf(body), TokenText.tokensBetween(seed, 0, tokens), body);
            assertTrue(body.endsWith("data: [DONE]\n\n"), body);
        }
    }
}
