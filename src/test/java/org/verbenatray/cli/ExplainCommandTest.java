package org.verbenatray.cli;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.net.http.HttpResponse;
import java.util.Map;
import java.util.stream.Collectors;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.verbenatray.cli.CommandLineTest.Run;
import org.verbenatray.demo.EmbeddedDeployment;
import org.verbenatray.demo.EmbeddedDeployment.Shape;
import org.verbenatray.instance.EntryInstance;
import org.verbenatray.processes.Await;
import org.verbenatray.processes.HttpCaller;
import org.verbenatray.standin.EngineServer;

/** Tests of {@link ExplainCommand} against running instances. */
public final class ExplainCommandTest {
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
    public void aStreamIsExplainedWithItsRouteAndItsRecovery() {
        var response =
                caller.sendAsync("POST", uri("/v1/completions"), HttpCaller.completionBody("check", 300, 1, true));
        Await.until(() -> dispatches() == 1);
        deployment.engines().forEach(EngineServer::silenceOpenResponses);
        Run run = explain(response.join());
        assertEquals(run.code(), ExitCode.SUCCESS, run.text());
        String[] lines = run.text().split("\n");
        assertTrue(lines[0].startsWith("event=received request="), run.text());
        assertTrue(lines[0].contains("customer=embedded subject=quick-check instance=entry-1 failure_domain=north"));
        assertTrue(lines[1].startsWith("event=admitted waited_ms="), run.text());
        assertTrue(lines[2].startsWith("event=dispatched run=1 engine=engine-"), run.text());
        assertTrue(lines[2].contains(" alternatives=2 "), run.text());
        assertTrue(run.text().contains("event=recovered kind=resumed engine=engine-"), run.text());
        assertTrue(lines[lines.length - 1].startsWith("event=ended result=whole detail=- output_tokens=300"));
    }

    @Test
    public void aCallWithAnIdempotencyKeyIsExplainedWithItsServer() {
        Run run =
                explain(caller.send("POST", uri("/services/registry/certificates"), "{}", "Idempotency-Key", "a-key"));
        assertTrue(run.text().contains("event=reserving key_present=true"), run.text());
        assertTrue(run.text().contains("event=sent server=service-1"), run.text());
        assertTrue(run.text().contains("event=ended result=answered"), run.text());
    }

    @Test
    public void unknownRequestsFailAndCallersCannotReadExplanations() {
        HttpResponse<String> response = caller.send("POST", uri("/v1/completions"), "{}");
        assertEquals(explain(response).code(), ExitCode.FAILURE);
        HttpResponse<String> explanation = caller.send("GET", uri("/explain/7"), "");
        assertEquals(explanation.statusCode(), 404);
        Run roles = Run.of(Map.of(), "explain --role-changes --operators " + operators());
        assertEquals(roles.code(), ExitCode.SUCCESS, roles.text());
    }

    private Run explain(HttpResponse<String> response) {
        String id = response.headers().firstValue("X-Request-Id").orElseThrow();
        return Run.of(Map.of(), "explain " + id + " --operators " + operators());
    }

    private String operators() {
        return deployment.entries().stream()
                .map(EntryInstance::operatorsAddress)
                .collect(Collectors.joining(","));
    }

    private String uri(String path) {
        return deployment.entries().get(0).callersAddress() + path;
    }

    private long dispatches() {
        return deployment.engines().stream()
                .mapToLong(EngineServer::acceptedDispatches)
                .sum();
    }
}
