package org.verbenatray.platform;

import java.io.IOException;
import org.testng.Assert;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.verbenatray.instance.RelayInstance;

/** Readiness of instances that reach the store, their callers and each other, but no backend server. */
public final class PartitionedInstanceTest {
    private PartitionableFleet fleet;

    @BeforeMethod
    public void start() throws Exception {
        fleet = PartitionableFleet.start(2);
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws Exception {
        fleet.close();
    }

    @Test
    public void callersOfAnInstanceThatReachesNoEngineAreServedAndSentToOnesThatDo() throws Exception {
        RelayInstance cutOff = fleet.instance(0);
        fleet.partition(0, true);
        fleet.awaitNotReady(0, 1);
        String response = RelayFixture.exchange(cutOff, fleet.request("/resume/x"));
        Assert.assertTrue(response.startsWith("HTTP/1.1 200"), response);
        Assert.assertTrue(response.contains("Connection: close"), response);
        Assert.assertTrue(fleet.instance(1).isReady());
        fleet.partition(0, false);
        RelayFixture.waitUntil(cutOff::isReady);
    }

    /** Polls on kept connections were answered, so that the instance counted as connected. */
    @Test
    public void callersOfAnInstanceWhoseNewConnectionsToServersAreRefusedAreSentToOthers() throws Exception {
        RelayInstance cutOff = fleet.instance(0);
        fleet.refuseNewConnections(0, true);
        RelayFixture.waitUntil(() -> {
            callOther();
            fleet.call(0, fleet.request("/stream/x"));
            return !cutOff.isReady();
        });
        fleet.refuseNewConnections(0, false);
        RelayFixture.waitUntil(cutOff::isReady);
    }

    @Test
    public void anInstanceStaysReadyWhileNoOtherReachesAnEngineEither() throws Exception {
        fleet.partition(0, true);
        fleet.partition(1, true);
        RelayFixture.waitUntil(() -> refused(0) && refused(1));
        for (int round = 0; round < 30; round++) {
            callOther();
            Assert.assertTrue(fleet.instance(0).isReady(), "not ready in round " + round);
        }
    }

    /** Requests of the other instance that hang at the engines are open work there, but reach no engine. */
    @Test
    public void anInstanceStaysReadyWhileRequestsOfAnotherHangAtTheEngines() throws Exception {
        fleet.partition(0, true);
        fleet.partition(1, true);
        for (int round = 0; round < 300; round++) {
            callOther();
            Assert.assertTrue(fleet.instance(0).isReady(), "not ready in round " + round);
        }
    }

    private boolean refused(int instance) throws IOException {
        return RelayFixture.exchange(fleet.instance(instance), fleet.request("/resume/x"))
                .contains("no_server_in_reach");
    }

    private void callOther() throws InterruptedException {
        fleet.call(1, fleet.request("/resume/x"));
    }
}
