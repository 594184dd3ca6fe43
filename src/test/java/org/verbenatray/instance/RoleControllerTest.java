package org.verbenatray.instance;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.verbenatray.demo.EmbeddedDeployment;
import org.verbenatray.demo.EmbeddedDeployment.Shape;
import org.verbenatray.processes.Await;
import org.verbenatray.processes.HttpCaller;
import org.verbenatray.standin.EngineServer;
import org.verbenatray.standin.engine.TokenText;

/** Tests of {@link RoleController} in a running deployment. */
public final class RoleControllerTest {
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
    public void aNewVersionIsLoadedOnOneEngineAfterTheOtherWithoutCuttingAStream() throws Exception {
        List<CompletableFuture<HttpResponse<String>>> before = sendAll(6, 150);
        Await.until(() -> dispatches() == 6);
        String yaml =
                deployment.fleetYaml().replace("quick-check:\n    version: \"1\"", "quick-check:\n    version: \"2\"");
        assertTrue(deployment.publish("fleet.yaml", yaml).isAccepted());
        Await.until(() -> deployment.engines().stream().allMatch(engine -> engine.servesVersion("quick-check", "2")));
        for (int seed = 0; seed < before.size(); seed++) {
            assertEquals(HttpCaller.textOf(before.get(seed).join().body()), TokenText.tokensBetween(seed, 0, 150));
        }
        assertEquals(HttpCaller.textOf(sendAll(1, 10).get(0).join().body()), TokenText.tokensBetween(0, 0, 10));
        assertEquals(
                deployment.engines().stream()
                        .mapToInt(EngineServer::conflictingOrders)
                        .sum(),
                0);
    }

    private long dispatches() {
        return deployment.engines().stream()
                .mapToLong(EngineServer::acceptedDispatches)
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
}
