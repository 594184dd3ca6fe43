package org.verbenatray.platform;

import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.testng.Assert;
import org.testng.annotations.Test;
import org.verbenatray.platform.RelayFixture.ServerListing;

/** {@code Connection} headers that name an option twice, which HTTP permits. */
public final class ConnectionHeaderTest {
    @Test
    public void aRequestThatNamesAConnectionOptionTwiceIsAnswered() throws Exception {
        try (ScriptedServer server = ScriptedServer.start(
                        (request, connection, out) -> out.write(ScriptedServer.okResponse(request, "ok")));
                RelayFixture relay = RelayFixture.startReady(ServerListing.plain("s1", server));
                Socket caller = relay.connect()) {
            String headers = "Connection: x-hop, X-Hop, x-hop\r\nX-Hop: 1\r\n";
            RelayFixture.send(caller, RelayFixture.postRequest("/unsafe/x", "id1", headers, "b"));
            String text = RelayFixture.readResponse(caller.getInputStream());
            Assert.assertTrue(text.startsWith("HTTP/1.1 200") && text.endsWith("ok"), text);
            Assert.assertEquals(server.requests().get(0).header("x-hop"), "");
        }
    }

    @Test
    public void aResponseThatNamesAConnectionOptionTwiceIsRelayed() throws Exception {
        try (ScriptedServer server = ScriptedServer.start((request, connection, out) -> {
                    String text = new String(ScriptedServer.okResponse(request, "ok"), StandardCharsets.ISO_8859_1);
                    out.write(text.replace("Server-Stamp", "Connection: x-hop, x-hop\r\nServer-Stamp")
                            .getBytes(StandardCharsets.ISO_8859_1));
                });
                RelayFixture relay = RelayFixture.startReady(ServerListing.plain("s1", server))) {
            String text = relay.exchange(RelayFixture.postRequest("/unsafe/x", "id1", "", "b"));
            Assert.assertTrue(text.startsWith("HTTP/1.1 200") && text.endsWith("ok"), text);
        }
    }
}
