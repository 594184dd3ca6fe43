package org.verbenatray.serving;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.verbenatray.demo.EmbeddedDeployment;
import org.verbenatray.demo.EmbeddedDeployment.Shape;
import org.verbenatray.processes.Await;
import org.verbenatray.processes.HttpCaller;
import org.verbenatray.standin.EngineFaults;
import org.verbenatray.standin.EngineServer;
import org.verbenatray.standin.engine.TokenText;

/**
 * Tests that requests whose engine crashes, through no fault of theirs, complete although the only other engine is down
 * too.
 */
public final class EnginesDownTest {
    private static final int REQUESTS = 4;
    private static final int TOKENS = 100;

    /** The output of a request that runs longer than the test. */
    private static final int OCCUPANT_TOKENS = 2_000;

    /** The number of requests of which some must reach each engine. */
    private static final int MAX_OCCUPANTS = 20;

    private final HttpCaller caller = HttpCaller.withKey(EmbeddedDeployment.API_KEY);
    private EmbeddedDeployment deployment;

    @BeforeMethod
    public void start() throws Exception {
        deployment = EmbeddedDeployment.start(new Shape(List.of("north"), 1, 2, 1, 20_000, 20, 300, 300, 1));
        deployment
                .engines()
                .forEach(engine -> engine.setFaults(EngineFaults.none().withRestartMillis(2_000)));
    }

    @AfterMethod
    public void stop() {
        deployment.close();
    }

    /**
     * A request that occupies the engine that crashes second keeps isolated runs off it; a request whose isolated run
     * crashes its engine is blocked, whatever the cause.
     */
    @Test
    public void aRequestThatCausedNoCrashIsNotBlockedWhileEnginesAreStillDown() {
        Await.until(() -> deployment.engines().stream()
                .allMatch(engine -> state().contains("\"" + engine.name() + "\":" + engine.incarnation())));
        List<CompletableFuture<HttpResponse<String>>> occupants = occupyAllEngines();
        List<CompletableFuture<HttpResponse<String>>> responses = new ArrayList<>();
        for (int seed = 0; seed < REQUESTS; seed++) {
            responses.add(send("innocent", TOKENS, seed));
        }
        Await.until(() -> acceptedInAll() >= occupants.size() + REQUESTS);
        EngineServer first = deployment.engines().stream()
                .max(Comparator.comparingLong(EngineServer::acceptedDispatches))
                .orElseThrow();
        String crash = first.name() + "@" + first.incarnation();
        first.crash();
        Await.until(() -> state().contains(crash));
        deployment.engines().stream().filter(engine -> engine != first).forEach(EngineServer::crash);
        occupants.forEach(occupant -> occupant.cancel(true));
        for (int seed = 0; seed < REQUESTS; seed++) {
            String body = responses.get(seed).join().body();
            assertEquals(HttpCaller.textOf(body), TokenText.tokensBetween(seed, 0, TOKENS), body);
        }
    }

    /** Sends requests that run for the whole test until each engine runs one, and returns their responses. */
    private List<CompletableFuture<HttpResponse<String>>> occupyAllEngines() {
        List<CompletableFuture<HttpResponse<String>>> occupants = new ArrayList<>();
        while (deployment.engines().stream().anyMatch(engine -> engine.acceptedDispatches() == 0)) {
            assertTrue(occupants.size() < MAX_OCCUPANTS, "no request was sent to one of the engines");
            occupants.add(send("occupant", OCCUPANT_TOKENS, REQUESTS + occupants.size()));
            Await.until(() -> acceptedInAll() >= occupants.size());
        }
        return occupants;
    }

    private long acceptedInAll() {
        return deployment.engines().stream()
                .mapToLong(EngineServer::acceptedDispatches)
                .sum();
    }

    private String state() {
        return caller.send("GET", deployment.entries().get(0).operatorsAddress() + "/state", "")
                .body();
    }

    private CompletableFuture<HttpResponse<String>> send(String prompt, int tokens, long seed) {
        String uri = deployment.entries().get(0).callersAddress() + "/v1/completions";
        return caller.sendAsync("POST", uri, HttpCaller.completionBody(prompt + " " + seed, tokens, seed, true));
    }
}
