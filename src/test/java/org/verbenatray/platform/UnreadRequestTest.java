package org.verbenatray.platform;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import org.testng.Assert;
import org.testng.annotations.Test;
import org.verbenatray.platform.RelayFixture.ServerListing;
import org.verbenatray.relay.RequestEnd;

/** Servers that come to a request only after its caller has left: what has not arrived by then is not delivered. */
public final class UnreadRequestTest {
    private static final int RECEIVE_BUFFER_BYTES = 4 * 1024;

    private static final int BODY_BYTES = 90_000;

    @Test
    public void aRequestThatItsServerHasNotReadIsTakenBackWhenItsCallerLeaves() throws Exception {
        try (ServerSocket server = new ServerSocket()) {
            server.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
            server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            String address = "127.0.0.1:" + server.getLocalPort();
            try (RelayFixture relay = RelayFixture.startReady(new ServerListing("s1", "plain", address, "", 1))) {
                Socket caller = relay.connect();
                RelayFixture.send(caller, RelayFixture.postRequest("/safe/x", "left", "", "b".repeat(BODY_BYTES)));
                try (Socket connection = server.accept()) {
                    awaitFirstByte(connection);
                    caller.close();
                    relay.await(() ->
                            relay.instance().readState().join().requestEnds().containsKey(RequestEnd.CALLER_LEFT));
                    relay.passIoRounds();
                    Assert.assertTrue(readToEnd(connection) < BODY_BYTES);
                }
            }
        }
    }

    private static void awaitFirstByte(Socket connection) throws IOException {
        Assert.assertTrue(connection.getInputStream().read() >= 0);
    }

    /** Returns the number of bytes that arrive before the connection ends or is reset. */
    private static int readToEnd(Socket connection) {
        int count = 0;
        byte[] buffer = new byte[1_024];
        try {
            InputStream in = connection.getInputStream();
            for (int read = in.read(buffer); read >= 0; read = in.read(buffer)) {
                count += read;
            }
        } catch (IOException e) {
            // Expected: the connection was reset.
        }
        return count;
    }
}
