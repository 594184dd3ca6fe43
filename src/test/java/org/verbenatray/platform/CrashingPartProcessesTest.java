package org.verbenatray.platform;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.testng.Assert;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.verbenatray.platform.RelayFixture.ServerListing;
import org.verbenatray.processes.BinaryProcess;

/** A part of prompts that ends engines, where instances and engines are processes of their own. */
public final class CrashingPartProcessesTest {
    private static final int ENGINES = 12;

    private static final int INSTANCES = 2;

    /** The number of engines that may end: five, and one under each of the three requests that may follow. */
    private static final int MAX_CRASHES = 5 + 3;

    private final List<BinaryProcess> engines = new ArrayList<>();

    private final List<BinaryProcess> instances = new ArrayList<>();

    private FakeStore store;

    private Path folder;

    private int requestNumber;

    @BeforeMethod
    public void start() throws Exception {
        store = FakeStore.start();
        store.put("keyed.op", "config", RelayFixture.configurationJson(1));
        for (int number = 0; number < ENGINES; number++) {
            BinaryProcess engine = BinaryProcess.startStandIn(EndingEngine.class);
            engines.add(engine);
            ServerListing listing =
                    new ServerListing("e" + number, "engines", engine.value("engine"), "decode", number + 1);
            store.put("keyed.servers", listing.id(), listing.entryJson("ready", 1));
        }
        folder = Files.createTempDirectory("instances");
        for (int number = 0; number < INSTANCES; number++) {
            instances.add(startInstance("m" + number));
        }
        for (BinaryProcess instance : instances) {
            RelayFixture.waitUntil(() -> send(instance, "good").contains("done"));
        }
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        BinaryProcess.closeAll(instances);
        BinaryProcess.closeAll(engines);
        store.close();
    }

    @Test
    public void requestsWithThePartAreRejectedAtEachInstance() throws Exception {
        for (BinaryProcess instance : instances) {
            sendUntilRejected(instance);
        }
        Assert.assertTrue(endedEngines() <= MAX_CRASHES, "engines ended: " + endedEngines());
        Assert.assertTrue(send(instances.get(0), "good").contains("done"));
    }

    private BinaryProcess startInstance(String name) throws IOException {
        Path settings = folder.resolve(name + ".conf");
        Files.writeString(
                settings, RelayFixture.settingsText(store.address()).replace("nodeName=m1", "nodeName=" + name));
        return BinaryProcess.start("relay", "--config", settings.toString(), "--metrics-port", "0");
    }

    private void sendUntilRejected(BinaryProcess instance) throws IOException {
        while (endedEngines() < ENGINES - 1) {
            send(instance, "good");
            if (send(instance, EndingEngine.DEADLY_PART).contains("crashes_servers")) {
                return;
            }
        }
        Assert.fail("no request was rejected, engines ended: " + endedEngines());
    }

    /** Sends a request whose prompt begins with a common part and goes on with the given one. */
    private String send(BinaryProcess instance, String part) throws IOException {
        requestNumber++;
        String prompt = "Token-Count: 35,5\r\nPrompt-Prefix: f1:10," + part + ":20,own" + requestNumber + ":5\r\n"
                + "Connection: close\r\n";
        String path = "/stream/x" + requestNumber;
        String address = instance.value("callers");
        int port = Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
        try (Socket caller = new Socket("127.0.0.1", port)) {
            RelayFixture.send(caller, RelayFixture.postRequest(path, "id" + requestNumber, prompt, "body"));
            return new String(caller.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        }
    }

    private long endedEngines() {
        return engines.stream().filter(engine -> !engine.isAlive()).count();
    }
}
