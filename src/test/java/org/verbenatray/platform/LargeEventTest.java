package org.verbenatray.platform;

import java.io.BufferedInputStream;
import java.net.Socket;
import org.testng.Assert;
import org.testng.annotations.Test;
import org.verbenatray.platform.RelayFixture.ServerListing;
import org.verbenatray.platform.ScriptedServer.Script;

/** Events that are larger than the bytes that may wait for a slow caller. */
public final class LargeEventTest {
    private static final int EVENT_BYTES = 8 * 1024 * 1024;

    @Test
    public void aCallerThatReadsIsNotCutForTheSizeOfOneEvent() throws Exception {
        String data = "x".repeat(EVENT_BYTES);
        Script large = (request, connection, out) -> {
            out.write(ScriptedServer.streamHead(request));
            out.write(ScriptedServer.eventChunk(1, data));
            out.write(ScriptedServer.lastChunk());
        };
        try (ScriptedServer server = ScriptedServer.start(large);
                RelayFixture relay = RelayFixture.startReady(ServerListing.engine("e1", "decode", server));
                Socket caller = relay.connect()) {
            RelayFixture.send(caller, RelayFixture.postRequest("/stream/x", "id1", "Token-Count: 10,5\r\n", "hello"));
            CallerReply reply = CallerReply.read(new BufferedInputStream(caller.getInputStream()));
            Assert.assertTrue(reply.whole(), "bytes read: " + reply.body().length());
            Assert.assertEquals(reply.body().length(), "id: 1\ndata: \n\n".length() + EVENT_BYTES);
        }
    }
}
