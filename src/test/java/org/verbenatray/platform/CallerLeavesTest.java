package org.verbenatray.platform;

import java.net.Socket;
import org.testng.annotations.Test;
import org.verbenatray.platform.MachineFixture.Listed;

/** Callers who close their connection before their answer is complete. */
public final class CallerLeavesTest {
    /** The seconds in which a server sees the end of a connection; the HTTP library alone would take 10. */
    private static final int CLOSING_SECONDS = 5;

    @Test
    public void theServerOfASafeRequestIsLeftAtOnce() throws Exception {
        try (ScriptedServer server = ScriptedServer.start((request, connection, out) -> {});
                MachineFixture machine = MachineFixture.ready(Listed.plain("s1", server))) {
            Socket caller = machine.connect();
            MachineFixture.send(caller, MachineFixture.get("/safe/x", "id1"));
            machine.await(() -> server.requests().size() == 1);
            caller.close();
            machine.await(() -> server.closedByPeerCount() == 1);
        }
    }

    @Test
    public void theServerOfAStreamIsLeftAtOnce() throws Exception {
        try (ScriptedServer server = ScriptedServer.start(
                        (request, connection, out) -> out.write(ScriptedServer.streamHead(request)));
                MachineFixture machine = MachineFixture.ready(Listed.engine("e1", "decode", server))) {
            Socket caller = machine.connect();
            MachineFixture.send(caller, MachineFixture.post("/stream/x", "id1", "Token-Count: 10,5\r\n", "hello"));
            machine.await(() -> server.requests().size() == 1);
            caller.close();
            machine.await(() -> server.closedByPeerCount() == 1);
        }
    }

    @Test
    public void theConnectionToTheServerIsClosedInBothDirections() throws Exception {
        try (ScriptedServer server = ScriptedServer.start((request, connection, out) -> {});
                MachineFixture machine = MachineFixture.ready(Listed.plain("s1", server))) {
            Socket caller = machine.connect();
            MachineFixture.send(caller, MachineFixture.get("/safe/x", "id1"));
            machine.await(() -> server.requests().size() == 1);
            caller.close();
            machine.await(() -> server.closedByPeerCount() == 1);
            machine.await(server::cannotWriteToClosed, CLOSING_SECONDS);
        }
    }
}
