package org.verbenatray.platform;

import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import org.testng.Assert;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.verbenatray.instance.RelayInstance;
import org.verbenatray.platform.RelayFixture.ServerListing;
import org.verbenatray.platform.ScriptedServer.Request;
import org.verbenatray.platform.ScriptedServer.Script;

/** Streams of a service whose engines run several software versions: a stream goes on at the version that began it. */
public final class MixedSoftwareVersionsTest {
    private static final String SHORT = "Token-Count: 10,5\r\nPrompt-Prefix: ab:10\r\n";

    private static final int STREAMS = 6;

    private final List<AutoCloseable> opened = new ArrayList<>();

    private FakeStore store;

    @BeforeMethod
    public void startStore() {
        store = FakeStore.start();
        store.put("keyed.op", "config", RelayFixture.configurationJson(1));
    }

    @AfterMethod
    public void closeAll() throws Exception {
        for (int last = opened.size() - 1; last >= 0; last--) {
            opened.get(last).close();
        }
        opened.clear();
        store.close();
    }

    @Test
    public void aBrokenStreamIsNotContinuedAtAnotherVersionWithinOneResponse() throws Exception {
        ScriptedServer first = engine("e1", "v1", brokenOrRest());
        ScriptedServer second = engine("e2", "v2", brokenOrRest());
        RelayInstance instance = instance("m1");
        for (int number = 0; number < STREAMS; number++) {
            String response = RelayFixture.exchange(instance, request("id" + number, ""));
            Assert.assertTrue(response.contains("id: 1\n"), response);
        }
        Assert.assertEquals(continuedAtBoth(first, second), List.of());
    }

    @Test
    public void aStreamThatACallerTakesUpGoesOnAtTheVersionThatBeganIt() throws Exception {
        ScriptedServer old = engine("e1", "v1", brokenOrRest());
        RelayInstance instance = instance("m1");
        beginStreams(instance);
        List<ScriptedServer> newer = newerEngines();
        await(instance, newer);
        assertContinued(instance, old, newer);
    }

    @Test
    public void aStreamThatACallerTakesUpAtAnotherInstanceGoesOnAtTheVersionThatBeganIt() throws Exception {
        ScriptedServer old = engine("e1", "v1", brokenOrRest());
        RelayInstance instance = instance("m1");
        RelayInstance other = instance("m2");
        awaitPeers(instance, other);
        beginStreams(instance);
        List<ScriptedServer> newer = newerEngines();
        await(other, newer);
        assertContinued(other, old, newer);
    }

    @Test
    public void aStreamThatACallerTakesUpAfterItsInstanceHasEndedGoesOnAtTheVersionThatBeganIt() throws Exception {
        ScriptedServer old = engine("e1", "v1", brokenOrRest());
        RelayInstance instance = instance("m1");
        RelayInstance other = instance("m2");
        awaitPeers(instance, other);
        beginStreams(instance);
        instance.close();
        List<ScriptedServer> newer = newerEngines();
        await(other, newer);
        assertContinued(other, old, newer);
    }

    @Test
    public void aStreamOfUnknownVersionIsRefusedWhileTwoVersionsServe() throws Exception {
        ScriptedServer old = engine("e1", "v1", brokenOrRest());
        List<ScriptedServer> newer = newerEngines();
        RelayInstance instance = instance("m1");
        String response = RelayFixture.exchange(instance, request("id9", "Last-Event-Id: 1\r\nResumes: id1\r\n"));
        assertRefused(response);
        Assert.assertEquals(posts(old), 0);
        newer.forEach(engine -> Assert.assertEquals(posts(engine), 0));
    }

    @Test
    public void aStreamWhoseVersionHasNoServerLeftIsRefused() throws Exception {
        ScriptedServer old = engine("e1", "v1", brokenOrRest());
        RelayInstance instance = instance("m1");
        beginStreams(instance);
        List<ScriptedServer> newer = newerEngines();
        await(instance, newer);
        store.put("keyed.servers", "e1", null);
        RelayFixture.waitUntil(() -> instance.readState().get().backends().size() == newer.size());
        int before = posts(old);
        assertRefused(RelayFixture.exchange(instance, request("id9", "Last-Event-Id: 1\r\nResumes: id1\r\n")));
        Assert.assertEquals(posts(old), before);
        newer.forEach(engine -> Assert.assertEquals(posts(engine), 0));
    }

    @Test
    public void aStreamIsNotContinuedAtAServerThatHasStartedAgainWithAnotherVersion() throws Exception {
        ScriptedServer server = engine("e1", "v1", brokenOrRest());
        RelayInstance instance = instance("m1");
        beginStreams(instance);
        int before = posts(server);
        store.put(
                "keyed.servers",
                "e1",
                new ServerListing("e1", "engines", server.address(), "decode", 2)
                        .withVersion("v2")
                        .entryJson("ready", 1));
        RelayFixture.waitUntil(
                () -> instance.readState().get().backends().get(0).boot().equals("e1@2"));
        assertRefused(RelayFixture.exchange(instance, request("id9", "Last-Event-Id: 1\r\nResumes: id1\r\n")));
        Assert.assertEquals(posts(server), before);
    }

    private RelayInstance instance(String name) throws Exception {
        RelayInstance instance = RelayFixture.startInstance(store.address(), name);
        opened.add(instance::close);
        RelayFixture.waitUntil(instance::isReady);
        return instance;
    }

    private ScriptedServer engine(String id, String version, Script script) throws Exception {
        ScriptedServer server = ScriptedServer.start(script);
        opened.add(server);
        ServerListing listing = ServerListing.engine(id, "decode", server).withVersion(version);
        store.put("keyed.servers", id, listing.entryJson("ready", 1));
        return server;
    }

    private List<ScriptedServer> newerEngines() throws Exception {
        List<ScriptedServer> engines = new ArrayList<>();
        for (int number = 2; number < 6; number++) {
            engines.add(engine("e" + number, "v2", brokenOrRest()));
        }
        return engines;
    }

    /** Begins streams on the only engine; each breaks after its first event. */
    private static void beginStreams(RelayInstance instance) throws Exception {
        for (int number = 0; number < STREAMS; number++) {
            String response =
                    RelayFixture.exchange(instance, request("id" + number, "").replace("/resume/", "/begin/"));
            Assert.assertTrue(response.contains("id: 1\n") && response.endsWith("<closed>"), response);
        }
    }

    /** Takes all streams up at an instance and checks that only the engine that began them gets them. */
    private static void assertContinued(RelayInstance at, ScriptedServer old, List<ScriptedServer> newer)
            throws Exception {
        for (int number = 0; number < STREAMS; number++) {
            String headers = "Last-Event-Id: 1\r\nResumes: id" + number + "\r\n";
            String response = RelayFixture.exchange(at, request("again" + number, headers));
            Assert.assertTrue(response.startsWith("HTTP/1.1 200") && response.endsWith("0\r\n\r\n"), response);
        }
        Assert.assertEquals(
                newer.stream().mapToInt(MixedSoftwareVersionsTest::posts).sum(), 0, "continued at another version");
        Assert.assertEquals(posts(old), 2 * STREAMS);
    }

    private static void await(RelayInstance instance, List<ScriptedServer> newer) throws Exception {
        RelayFixture.waitUntil(() -> instance.readState().get().backends().size() == newer.size() + 1);
    }

    private static void awaitPeers(RelayInstance... instances) throws Exception {
        for (RelayInstance instance : instances) {
            RelayFixture.waitUntil(() -> instance.readState().get().peers() == instances.length - 1);
        }
    }

    private static void assertRefused(String response) {
        Assert.assertTrue(response.startsWith("HTTP/1.1 503") && response.contains("Retry-After"), response);
    }

    /** Returns the ids of the requests that engines of both versions got. */
    private static List<String> continuedAtBoth(ScriptedServer first, ScriptedServer second) {
        List<String> ids = ids(second);
        return ids(first).stream().filter(ids::contains).distinct().toList();
    }

    private static List<String> ids(ScriptedServer engine) {
        return engine.requests().stream()
                .filter(request -> request.line().startsWith("POST"))
                .map(request -> request.header("request-id"))
                .toList();
    }

    private static int posts(ScriptedServer engine) {
        return ids(engine).size();
    }

    private static String request(String id, String extraHeaders) {
        return RelayFixture.postRequest("/resume/x", id, SHORT + extraHeaders, "p");
    }

    /** Returns a script that breaks a new stream after its first event and sends the rest of a continued one. */
    private static Script brokenOrRest() {
        return (request, connection, out) -> {
            if (!request.line().startsWith("POST")) {
                answerStatus(request, out);
            } else if (request.header("last-event-id").isEmpty()) {
                out.write(ScriptedServer.streamHead(request));
                out.write(ScriptedServer.eventChunk(1, "a"));
                out.flush();
                connection.close();
            } else {
                out.write(ScriptedServer.streamHead(request));
                out.write(ScriptedServer.eventChunk(2, "b"));
                out.write(ScriptedServer.lastChunk());
            }
        };
    }

    private static void answerStatus(Request request, OutputStream out) throws IOException {
        String body = request.line().startsWith("GET /report")
                ? "{\"waiting\":0,\"running\":1,\"seq\":0}"
                : "{\"epoch\":1,\"next\":0,\"events\":[]}";
        out.write(ScriptedServer.response(request, 200, "", body));
    }
}
