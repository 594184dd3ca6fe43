package org.verbenatray.platform;

import org.testng.Assert;
import org.testng.annotations.Test;
import org.verbenatray.platform.MachineFixture.Listed;
import org.verbenatray.platform.ScriptedServer.Script;

/** Engines that are silent because requests wait there, and engines that are silent for no stated reason. */
public final class BusyEngineTest {
    @Test
    public void anEngineThatStatesThatRequestsWaitIsNotLeftForItsSilence() throws Exception {
        Assert.assertEquals(runsWhenSilent("{\"stage\":\"decode\",\"waiting\":9,\"running\":3,\"seq\":0}"), 1);
    }

    @Test
    public void anEngineThatIsSilentForNoStatedReasonIsLeftForAnother() throws Exception {
        Assert.assertEquals(runsWhenSilent("{\"stage\":\"decode\",\"waiting\":0,\"running\":3,\"seq\":0}"), 2);
    }

    /** Returns how many engines a request that may be resumed was sent to, of two that never answer it. */
    private static int runsWhenSilent(String load) throws Exception {
        Script silent = (request, connection, out) -> {
            if (request.line().startsWith("GET /report")) {
                out.write(ScriptedServer.answer(request, 200, "", load));
            } else if (request.line().startsWith("GET /kv-events")) {
                out.write(ScriptedServer.answer(request, 200, "", "{\"epoch\":1,\"next\":0,\"events\":[]}"));
            }
        };
        try (ScriptedServer first = ScriptedServer.start(silent);
                ScriptedServer second = ScriptedServer.start(silent);
                MachineFixture machine = MachineFixture.ready(
                        Listed.engine("e1", "decode", first), Listed.engine("e2", "decode", second))) {
            machine.await(() -> asked(first) > 0 && asked(second) > 0);
            machine.exchange(MachineFixture.post("/resume/x", "id1", "Token-Count: 10,5\r\n", "p"));
            return posts(first) + posts(second);
        }
    }

    private static int asked(ScriptedServer server) {
        return (int) server.requests().stream()
                .filter(request -> request.line().startsWith("GET /kv-events"))
                .count();
    }

    private static int posts(ScriptedServer server) {
        return (int) server.requests().stream()
                .filter(request -> request.line().startsWith("POST"))
                .count();
    }
}
