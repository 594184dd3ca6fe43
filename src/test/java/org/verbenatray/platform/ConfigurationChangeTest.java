package org.verbenatray.platform;

import java.net.Socket;
import java.util.List;
import java.util.Map;
import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.verbenatray.platform.RelayFixture.ServerListing;
import org.verbenatray.platform.ScriptedServer.Request;

/** Calls that are open while the operator's configuration changes. */
public final class ConfigurationChangeTest {
    /** A route of the configuration up to its service. */
    private static final String ROUTE_SERVICE = "\"service\":\"(plain|engines)\",\"maxAttempts\"";

    /** The changes of the configuration, by name. */
    @DataProvider
    public static Object[][] changes() {
        return new Object[][] {
            {"routes moved to services without servers", List.of(moved(3))},
            {"routes split by weights", List.of(split(3))},
            {"routes removed", List.of(base(3).replaceAll("\"routes\":\\[.*?\\]", "\"routes\":[]"))},
            {"services removed", List.of(base(3).replaceAll("\"services\":\\[.*?\\]", "\"services\":[]"))},
            {"engine limits removed", List.of(withoutEngineLimits(3))},
            {"deadline shortened", List.of(base(3).replace("\"timeoutMs\":4000", "\"timeoutMs\":1"))},
            {"deadline lengthened", List.of(base(3).replace("\"timeoutMs\":4000", "\"timeoutMs\":90000"))},
            {"attempts lowered", List.of(base(3).replace("\"maxAttempts\":2", "\"maxAttempts\":1"))},
            {"streams not resumable", List.of(base(3).replace("\"resumable\":true", "\"resumable\":false"))},
            {"kinds changed", List.of(base(3).replaceAll("\"kind\":\"(safe|streaming)\"", "\"kind\":\"unsafe\""))},
            {"limits lowered", List.of(lowLimits(3))},
            {
                "versions in quick succession",
                List.of(moved(3), base(4), split(5), base(6), lowLimits(7), withoutEngineLimits(8), moved(9), base(10))
            },
        };
    }

    @Test(dataProvider = "changes")
    public void anOpenCallEndsInTheWholeAnswerOfTheServerThatHasIt(String name, List<String> versions)
            throws Exception {
        try (HeldCalls calls = HeldCalls.startServers();
                RelayFixture relay = RelayFixture.startReady(calls.listings())) {
            putInForce(relay, List.of(base(2)));
            calls.sendTo(relay);
            putInForce(relay, versions);
            Map<String, String> responses = calls.releaseAndRead();
            responses.forEach((path, response) -> {
                Assert.assertTrue(response.startsWith("HTTP/1.1 200"), path + ": " + response);
                Assert.assertTrue(
                        path.contains("safe") ? response.endsWith("whole") : isWholeStream(response), path + response);
            });
            relay.await(() -> relay.instance().readState().join().openRequests() == 0);
        }
    }

    @Test(dataProvider = "changes")
    public void aPromptPrefilledBeforeTheChangeIsHandedOverAfterIt(String name, List<String> versions)
            throws Exception {
        try (HeldCalls calls = HeldCalls.startServers();
                RelayFixture relay = RelayFixture.startReady(calls.listings())) {
            putInForce(relay, List.of(base(2)));
            calls.sendTo(relay);
            putInForce(relay, versions);
            calls.releaseAndRead();
            List<String> sources = calls.received("POST").stream()
                    .filter(request -> request.line().contains("/prefilled"))
                    .filter(request -> !request.header("serving-stage").equals("prefill"))
                    .map(request -> request.header("kv-source"))
                    .toList();
            Assert.assertEquals(sources, List.of(calls.listings()[2].address() + "/h1"));
        }
    }

    @Test(dataProvider = "changes")
    public void aRequestWhoseBodyArrivesBehindTheChangeIsAnsweredOrRefused(String name, List<String> versions)
            throws Exception {
        try (ScriptedServer server = ScriptedServer.start(
                        (request, connection, out) -> out.write(ScriptedServer.okResponse(request, "whole")));
                RelayFixture relay = RelayFixture.startReady(ServerListing.plain("s1", server));
                Socket caller = relay.connect()) {
            putInForce(relay, List.of(base(2)));
            String request = RelayFixture.postRequest("/unsafe/x", "id1", "", "0123456789");
            RelayFixture.send(caller, request.substring(0, request.length() - 5));
            putInForce(relay, versions);
            RelayFixture.send(caller, request.substring(request.length() - 5));
            String response = RelayFixture.readResponse(caller.getInputStream());
            List<Request> ran = server.requests().stream()
                    .filter(received -> received.line().startsWith("POST"))
                    .toList();
            boolean answered = response.startsWith("HTTP/1.1 200") && response.endsWith("whole");
            boolean refused = response.startsWith("HTTP/1.1 503") || response.startsWith("HTTP/1.1 404");
            Assert.assertTrue(answered && ran.size() == 1 || refused && ran.isEmpty(), response);
            relay.await(() -> relay.instance().readState().join().openRequests() == 0);
        }
    }

    private static boolean isWholeStream(String response) {
        return response.contains("id: 1\ndata: a")
                && response.contains("id: 2\ndata: b")
                && response.endsWith("0\r\n\r\n");
    }

    /** Writes versions to the store and waits until the last of them is in force. */
    private static void putInForce(RelayFixture relay, List<String> versions) throws Exception {
        versions.forEach(text -> relay.putConfiguration(versionOf(text), text));
        long last = versionOf(versions.get(versions.size() - 1));
        relay.await(() -> relay.instance().readState().join().routesVersion() == last);
    }

    private static long versionOf(String text) {
        return Long.parseLong(text.replaceAll("^\\{\"version\":(\\d+),.*$", "$1"));
    }

    /** Returns the configuration before the change: its servers may be silent for as long as the calls are held. */
    private static String base(long version) {
        return RelayFixture.configurationJson(version).replace("\"targetLatencyMs\":400", "\"targetLatencyMs\":5000");
    }

    private static String moved(long version) {
        return base(version).replaceAll(ROUTE_SERVICE, "\"service\":\"empty\",\"maxAttempts\"");
    }

    private static String split(long version) {
        return base(version)
                .replaceAll(
                        ROUTE_SERVICE,
                        "\"trafficSplit\":[{\"service\":\"empty\",\"weight\":99},"
                                + "{\"service\":\"$1\",\"weight\":1}],\"maxAttempts\"");
    }

    private static String withoutEngineLimits(long version) {
        return base(version).replaceAll(",\"engine\":\\{.*?\\}", "");
    }

    private static String lowLimits(long version) {
        return base(version)
                .replace("\"maxBodyBytes\":100000", "\"maxBodyBytes\":1")
                .replace("\"maxHeaderBytes\":16384", "\"maxHeaderBytes\":1");
    }
}
