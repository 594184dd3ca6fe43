package org.verbenatray.platform;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.verbenatray.platform.RelayFixture.ServerListing;

/**
 * Servers that answer a long upload before they have read it, without a length, and end the connection under it: what
 * they have written until then must not look like a whole answer.
 */
public final class EarlyAnswerTest {
    /** Uploads that are longer than what the buffers of both ends take, in bytes. */
    private static final List<Integer> UPLOADS = List.of(500_000, 1_000_000, 3_500_000);

    private static final int REPETITIONS = 4;

    /** Each end of the connection under each size of the upload. */
    @DataProvider
    public Object[][] ends() {
        List<Object[]> cases = new ArrayList<>();
        for (EarlyServer.End end : EarlyServer.End.values()) {
            UPLOADS.forEach(bytes -> cases.add(new Object[] {end, bytes}));
        }
        return cases.toArray(Object[][]::new);
    }

    @DataProvider
    public Object[] uploads() {
        return UPLOADS.toArray();
    }

    @Test(dataProvider = "ends")
    public void aPartThatEndsUnderTheUploadIsNoAnswer(EarlyServer.End end, int uploadBytes) throws Exception {
        try (EarlyServer server = EarlyServer.start(end);
                RelayFixture relay = startReady(listing("s1", server.address()))) {
            for (int number = 0; number < REPETITIONS; number++) {
                CallerReply reply = upload(relay, "/unsafe/x", "id" + number, uploadBytes);
                Assert.assertEquals(reply.status(), 502, reply.toString());
            }
            Assert.assertEquals(server.answeredUploads(), REPETITIONS, "a request that may have run is not sent again");
        }
    }

    @Test(dataProvider = "ends")
    public void anUploadThatMayBeRepeatedIsAnsweredByTheNextServer(EarlyServer.End end, int uploadBytes)
            throws Exception {
        try (EarlyServer early = EarlyServer.start(end);
                ScriptedServer whole = ScriptedServer.start(
                        (request, connection, out) -> out.write(ScriptedServer.okResponse(request, "whole")));
                RelayFixture relay = startReady(listing("s1", early.address()), ServerListing.plain("s2", whole))) {
            for (int number = 0; number < REPETITIONS; number++) {
                CallerReply reply = upload(relay, "/safe/x", "id" + number, uploadBytes);
                Assert.assertEquals(reply.body(), "whole", reply.toString());
            }
        }
    }

    /** Uploads that fit into the buffers of both ends, so that they are written at once. */
    @DataProvider
    public Object[] buffered() {
        return new Object[] {1, 10_000, 100_000};
    }

    @Test(dataProvider = "buffered")
    public void aPartThatIsResetRightBehindItsEndIsNoAnswer(int uploadBytes) throws Exception {
        try (EarlyServer server = EarlyServer.start(EarlyServer.End.END_AND_RESET);
                RelayFixture relay = startReady(listing("s1", server.address()))) {
            for (int number = 0; number < REPETITIONS; number++) {
                CallerReply reply = upload(relay, "/unsafe/x", "id" + number, uploadBytes);
                Assert.assertEquals(reply.status(), 502, reply.toString());
            }
        }
    }

    /** By itself, the end of the connection completes an answer without a length. */
    @Test(dataProvider = "uploads")
    public void anAnswerThatEndsAfterTheUploadWasReadIsWhole(int uploadBytes) throws Exception {
        try (ScriptedServer server = ScriptedServer.start((request, connection, out) -> {
                    out.write(ScriptedServer.headWithoutLength(request));
                    out.write(("read " + request.body().length()).getBytes(StandardCharsets.US_ASCII));
                    out.flush();
                    connection.close();
                });
                RelayFixture relay = startReady(ServerListing.plain("s1", server))) {
            for (int number = 0; number < REPETITIONS; number++) {
                CallerReply reply = upload(relay, "/unsafe/x", "id" + number, uploadBytes);
                Assert.assertEquals(reply.body(), "read " + uploadBytes, reply.toString());
            }
        }
    }

    private static ServerListing listing(String id, String address) {
        return new ServerListing(id, "plain", address, "", 1);
    }

    /** Starts an instance that accepts the largest of the uploads. */
    private static RelayFixture startReady(ServerListing... servers) throws Exception {
        RelayFixture relay = RelayFixture.startReady(servers);
        relay.putConfiguration(
                2, RelayFixture.configurationJson(2).replace("\"maxBodyBytes\":100000", "\"maxBodyBytes\":4000000"));
        relay.await(() -> relay.instance().readState().get().routesVersion() == 2);
        return relay;
    }

    private static CallerReply upload(RelayFixture relay, String path, String id, int bytes) throws IOException {
        try (Socket caller = relay.connect()) {
            RelayFixture.send(caller, RelayFixture.postRequest(path, id, "", "b".repeat(bytes)));
            return CallerReply.read(caller.getInputStream());
        }
    }
}
