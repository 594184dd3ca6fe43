package org.verbenatray.platform;

import java.util.ArrayList;
import java.util.List;
import org.testng.Assert;
import org.testng.annotations.Test;
import org.verbenatray.platform.MachineFixture.Listed;

/** A request that crashes each server that runs it, and comes again. */
public final class CrashingRequestTest {
    @Test
    public void afterThreeCrashesItIsRefusedAndReachesNoServer() throws Exception {
        List<ScriptedServer> servers = new ArrayList<>();
        Listed[] listed = new Listed[5];
        for (int number = 0; number < listed.length; number++) {
            ScriptedServer server = ScriptedServer.start((request, connection, out) -> {});
            server.then((request, connection, out) -> server.crash());
            servers.add(server);
            listed[number] = Listed.plain("s" + number, server);
        }
        try (MachineFixture machine = MachineFixture.ready(listed)) {
            String answer = "";
            for (int round = 0; round < 20 && !answer.contains("crashes_servers"); round++) {
                answer = machine.exchange(MachineFixture.post("/unsafe/x", "id" + round, "", "poison"));
                machine.await(() -> machine.store().size("crashes") == crashed(servers));
            }
            Assert.assertTrue(answer.startsWith("HTTP/1.1 503") && answer.contains("crashes_servers"), answer);
            Assert.assertEquals(crashed(servers), 3);
            String other = machine.exchange(MachineFixture.post("/unsafe/x", "other", "", "fine"));
            Assert.assertFalse(other.contains("crashes_servers"), other);
        } finally {
            for (ScriptedServer server : servers) {
                server.close();
            }
        }
    }

    private static long crashed(List<ScriptedServer> servers) {
        return servers.stream()
                .filter(server -> server.requests().stream()
                        .anyMatch(request -> request.body().equals("poison")))
                .count();
    }
}
