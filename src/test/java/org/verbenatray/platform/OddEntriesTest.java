package org.verbenatray.platform;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.verbenatray.log.KeyedLog;
import org.verbenatray.platform.RelayFixture.ServerListing;
import org.verbenatray.platform.ScriptedServer.Script;

/**
 * Odd entries of other writers among those of the servers. Processes that read the list ended again and again, or
 * followed it no more.
 */
public final class OddEntriesTest {
    private static final Script OK = (request, connection, out) -> out.write(ScriptedServer.okResponse(request, "ok"));

    private static final String GOOD = "{\"service\":\"plain\",\"address\":\"127.0.0.1:4001\",\"zone\":\"z1\","
            + "\"version\":\"v1\",\"slots\":6,\"state\":\"ready\",\"coldRemainingMs\":0,\"born\":1,\"seq\":1}";

    @DataProvider
    public Object[][] entries() {
        return new Object[][] {
            {"deep", "[".repeat(200_000)},
            {"deep and whole", GOOD.replace("\"v1\"", "[".repeat(900) + "]".repeat(900))},
            {"deep objects", "{\"a\":".repeat(100_000)},
            {"port zero", GOOD.replace("4001", "0")},
            {"port out of range", GOOD.replace("4001", "99999")},
            {"port of many digits", GOOD.replace("4001", "9".repeat(40))},
            {"octet out of range", GOOD.replace("127.0.0.1", "999.0.0.1")},
            {"host name", GOOD.replace("127.0.0.1", "localhost")},
            {"slots out of range", GOOD.replace("\"slots\":6", "\"slots\":99999999999")},
            {"slots beyond 64 bits", GOOD.replace("\"slots\":6", "\"slots\":" + "9".repeat(30))},
            {"slots with 5,000 digits", GOOD.replace("\"slots\":6", "\"slots\":" + "9".repeat(5_000))},
            {"negative slots", GOOD.replace("\"slots\":6", "\"slots\":-6")},
            {"fractional slots", GOOD.replace("\"slots\":6", "\"slots\":6.5")},
            {"seq beyond 64 bits", GOOD.replace("\"seq\":1", "\"seq\":" + "9".repeat(30))},
            {"seq with an exponent", GOOD.replace("\"seq\":1", "\"seq\":1e400")},
            {"born beyond 64 bits", GOOD.replace("\"born\":1", "\"born\":" + "9".repeat(30))},
            {"born as a text", GOOD.replace("\"born\":1", "\"born\":\"1\"")},
            {"version as a number", GOOD.replace("\"v1\"", "1")},
            {"unknown state", GOOD.replace("ready", "gone")},
            {"unknown stage", GOOD.replace("{", "{\"stage\":\"encode\",")},
            {"null", "null"},
            {"a text", "\"ready\""},
            {"no text", "\u0000\u0001\u0002"},
            {"nothing behind a brace", "{"},
        };
    }

    @Test(dataProvider = "entries")
    public void anOddEntryNamesNoServer(String name, String entry) {
        Assert.assertTrue(decode("x1", entry).isEmpty());
        Assert.assertTrue(decode("x1", GOOD).isPresent());
    }

    @Test
    public void anIdThatNoHeaderCanHoldNamesNoServer() {
        for (String id : new String[] {"", "a b", "a\r\nX: y", "\u0000", "i".repeat(201), "\u00e9"}) {
            Assert.assertTrue(decode(id, GOOD).isEmpty(), id);
        }
    }

    @Test
    public void theListIsFollowedOnBesideOddEntriesAndAServerKeepsItsLastGoodOne() throws Exception {
        try (ScriptedServer first = ScriptedServer.start(OK);
                ScriptedServer second = ScriptedServer.start(OK);
                RelayFixture relay = RelayFixture.startReady(ServerListing.plain("s1", first))) {
            for (Object[] odd : entries()) {
                relay.store().put("keyed.servers", "odd-" + odd[0].hashCode(), (String) odd[1]);
                relay.store().put("keyed.servers", "s1", (String) odd[1]);
            }
            for (int number = 0; number < 2_000; number++) {
                relay.store().put("keyed.servers", "many-" + number, "[" + number);
            }
            relay.putReadyServer(ServerListing.plain("s2", second));
            relay.await(() -> relay.instance().readState().join().backends().size() == 2);
            relay.store().compact("keyed.servers");
            relay.putReadyServer(ServerListing.plain("s3", second));
            relay.await(() -> relay.instance().readState().join().backends().size() == 3);
            for (int number = 0; number < 12; number++) {
                String response = relay.exchange(RelayFixture.getRequest("/safe/x", "id" + number));
                Assert.assertTrue(response.startsWith("HTTP/1.1 200"), response);
            }
            Assert.assertFalse(first.requests().isEmpty());
        }
    }

    private static Optional<?> decode(String id, String entry) {
        byte[] value = entry.getBytes(StandardCharsets.UTF_8);
        return ServerEntryDecoder.create().decode(new KeyedLog.Entry(id, Optional.of(value)));
    }
}
