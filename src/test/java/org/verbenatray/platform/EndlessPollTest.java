package org.verbenatray.platform;

import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.verbenatray.instance.RelayInstance;
import org.verbenatray.platform.EndlessAnswer.EndlessScript;
import org.verbenatray.platform.RelayFixture.ServerListing;
import org.verbenatray.platform.ScriptedServer.Script;

/** Answers without end to the calls that an instance makes by itself: load reports of engines and the store. */
public final class EndlessPollTest {
    /** Headers of a generation with a short prompt. */
    private static final String SHORT = "Token-Count: 10,5\r\nPrompt-Prefix: ab:10\r\n";

    @DataProvider
    public Object[] answers() {
        return EndlessAnswer.values();
    }

    @Test(dataProvider = "answers")
    public void anEngineWhoseReportsNeverEndIsAvoided(EndlessAnswer answer) throws Exception {
        EndlessScript script = answer.script();
        Script reports = (request, connection, out) -> {
            if (EndlessRelayTest.isReport(request)) {
                script.serve(request, connection, out);
            } else {
                EndlessRelayTest.completeStream().serve(request, connection, out);
            }
        };
        try (ScriptedServer bad = ScriptedServer.start(reports);
                ScriptedServer good = ScriptedServer.start(EndlessRelayTest.completeStream());
                RelayFixture relay = RelayFixture.startReady(
                        ServerListing.engine("e1", "decode", bad), ServerListing.engine("e2", "decode", good))) {
            relay.await(() -> script.closedByPeer() >= 4);
            for (int round = 0; round < 4; round++) {
                String response = relay.exchange(RelayFixture.postRequest("/stream/x", "id" + round, SHORT, "p"));
                Assert.assertTrue(response.startsWith("HTTP/1.1 200") && response.endsWith("0\r\n\r\n"), response);
            }
            Assert.assertEquals(
                    bad.requests().stream()
                            .filter(request -> !EndlessRelayTest.isReport(request))
                            .count(),
                    0);
        }
    }

    @Test(dataProvider = "answers")
    public void aStoreWithoutEndLeavesTheInstanceServing(EndlessAnswer answer) throws Exception {
        EndlessScript script = answer.script();
        try (ScriptedServer store = ScriptedServer.start(script)) {
            RelayInstance instance = RelayFixture.startInstance(store.address(), "m1");
            try {
                RelayFixture.waitUntil(() -> script.closedByPeer() >= 4);
                String response = RelayFixture.exchange(instance, RelayFixture.getRequest("/safe/x", "id1"));
                Assert.assertTrue(response.startsWith("HTTP/1.1 503") && response.contains("Retry-After"), response);
                Assert.assertFalse(instance.isReady());
            } finally {
                instance.close();
            }
        }
    }
}
