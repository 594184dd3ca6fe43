package org.verbenatray.platform;

import java.io.IOException;
import java.io.OutputStream;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;
import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.Assert;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.verbenatray.instance.EventLoop;
import org.verbenatray.instance.RelayInstance;
import org.verbenatray.platform.RelayFixture.ServerListing;
import org.verbenatray.platform.ScriptedServer.Request;
import org.verbenatray.relay.RelayDialect;
import org.verbenatray.servers.ConnectionUse;
import org.verbenatray.servers.HttpCall;
import org.verbenatray.time.Ticker;

/** Instances that reach the store, their callers and each other, but no backend server. */
public final class PartitionedInstanceTest {
    private static final int ENGINES = 4;

    private static final int INSTANCES = 2;

    /** An address at which nothing listens. */
    private static final String UNUSED_ADDRESS = "127.0.0.1:1";

    /** The time for which an engine works on a request, in milliseconds. */
    private static final long WORK_MILLIS = 200;

    private final AtomicInteger requestNumber = new AtomicInteger();
    private FakeStore store;
    private List<ScriptedServer> engines;
    private List<RelayInstance> instances;
    private ExecutorService callers;

    /** Accepts connections and never answers, as a peer behind a partition. */
    private ScriptedServer silence;

    /** Whether the servers refuse new connections of each instance, while kept ones live on. */
    private volatile boolean[] refusedNewConnections;

    /** Whether each instance is partitioned from the engines. */
    private volatile boolean[] partitioned;

    @BeforeMethod
    public void start() throws Exception {
        partitioned = new boolean[INSTANCES];
        refusedNewConnections = new boolean[INSTANCES];
        callers = Executors.newCachedThreadPool();
        silence = ScriptedServer.start((request, connection, out) -> {});
        store = FakeStore.startOnPorts(INSTANCES);
        store.put("keyed.op", "config", RelayFixture.configurationJson(1));
        engines = new ArrayList<>();
        for (int number = 0; number < ENGINES; number++) {
            ScriptedServer engine = ScriptedServer.start((request, connection, out) -> serve(request, out));
            engines.add(engine);
            ServerListing listing = ServerListing.engine("e" + number, "decode", engine);
            store.put("keyed.servers", listing.id(), listing.entryJson("ready", 1));
        }
        instances = new ArrayList<>();
        for (int number = 0; number < INSTANCES; number++) {
            instances.add(startInstance(number));
        }
        RelayFixture.waitUntilConnected(instances);
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws Exception {
        callers.shutdownNow();
        instances.forEach(RelayInstance::close);
        for (ScriptedServer engine : engines) {
            engine.close();
        }
        silence.close();
        store.close();
    }

    @Test
    public void callersOfAnInstanceThatReachesNoEngineAreSentToOnesThatDo() throws Exception {
        RelayInstance cutOff = instances.get(0);
        partition(0, true);
        RelayFixture.waitUntil(() -> {
            callOther();
            return !cutOff.isReady();
        });
        String response = RelayFixture.exchange(cutOff, request());
        Assert.assertTrue(response.startsWith("HTTP/1.1 503"), response);
        Assert.assertTrue(response.contains("Connection: close"), response);
        Assert.assertTrue(instances.get(1).isReady());
        partition(0, false);
        RelayFixture.waitUntil(cutOff::isReady);
    }

    /** Polls on kept connections were answered, so that the instance counted as connected. */
    @Test
    public void callersOfAnInstanceWhoseNewConnectionsToServersAreRefusedAreSentToOthers() throws Exception {
        RelayInstance cutOff = instances.get(0);
        refusedNewConnections[0] = true;
        RelayFixture.waitUntil(() -> {
            callOther();
            callers.submit(() -> RelayFixture.exchange(cutOff, unrepeatableRequest()));
            return !cutOff.isReady();
        });
        refusedNewConnections[0] = false;
        RelayFixture.waitUntil(cutOff::isReady);
    }

    @Test
    public void anInstanceStaysReadyWhileNoOtherReachesAnEngineEither() throws Exception {
        partition(0, true);
        partition(1, true);
        RelayFixture.waitUntil(() -> refused(0) && refused(1));
        for (int round = 0; round < 30; round++) {
            callOther();
            Assert.assertTrue(instances.get(0).isReady(), "not ready in round " + round);
        }
    }

    /** Requests of the other instance that hang at the engines are open work there, but reach no engine. */
    @Test
    public void anInstanceStaysReadyWhileRequestsOfAnotherHangAtTheEngines() throws Exception {
        partition(0, true);
        partition(1, true);
        for (int round = 0; round < 300; round++) {
            callOther();
            Assert.assertTrue(instances.get(0).isReady(), "not ready in round " + round);
        }
    }

    private boolean refused(int instance) throws IOException {
        return RelayFixture.exchange(instances.get(instance), request()).contains("no_server_in_reach");
    }

    private void partition(int instance, boolean value) {
        boolean[] changed = partitioned.clone();
        changed[instance] = value;
        partitioned = changed;
    }

    /** Sends a request to the second instance without waiting for its answer, and pauses briefly. */
    private void callOther() throws InterruptedException {
        callers.submit(() -> RelayFixture.exchange(instances.get(1), request()));
        TimeUnit.MILLISECONDS.sleep(20);
    }

    private String request() {
        return requestTo("/resume/x");
    }

    private String unrepeatableRequest() {
        return requestTo("/stream/x");
    }

    private String requestTo(String path) {
        int number = requestNumber.incrementAndGet();
        return RelayFixture.postRequest(path, "id" + number, "Token-Count: 35,5\r\n", "body" + number);
    }

    private RelayInstance startInstance(int number) {
        String settings =
                RelayFixture.settingsText(store.address(number)).replace("nodeName=m1", "nodeName=m" + number);
        return RelayLauncher.launch(
                SettingsFile.parse(settings).toPlatformSettings(),
                0,
                EventLoop.start(Ticker.system()),
                partitionable(number));
    }

    /** Returns a translation whose calls to servers get no answer while the instance is partitioned. */
    private RelayDialect partitionable(int instance) {
        RelayDialect real = PlatformProtocol.create();
        return (RelayDialect) Proxy.newProxyInstance(
                RelayDialect.class.getClassLoader(),
                new Class<?>[] {RelayDialect.class},
                (proxy, called, arguments) -> {
                    try {
                        Object result = called.invoke(real, arguments);
                        return result instanceof HttpCall call ? redirect(instance, call) : result;
                    } catch (InvocationTargetException e) {
                        throw e.getCause();
                    }
                });
    }

    /** Polls for cache changes stand for those that open a connection; the relay decides that after the translation. */
    private HttpCall redirect(int instance, HttpCall call) {
        if (partitioned[instance]) {
            return withAddress(call, silence.address(), "/silent");
        }
        boolean opens = call.connectionUse() == ConnectionUse.NEW || call.path().startsWith("/kv-events");
        boolean refused = refusedNewConnections[instance] && opens;
        return refused ? withAddress(call, UNUSED_ADDRESS, "/refused") : call;
    }

    private static HttpCall withAddress(HttpCall call, String address, String pool) {
        return new HttpCall(
                call.method(),
                URI.create("http://" + address),
                call.path(),
                call.headers(),
                call.body(),
                call.connectionUse(),
                call.pool() + pool);
    }

    private static void serve(Request request, OutputStream out) throws IOException {
        if (request.line().startsWith("GET")) {
            out.write(ScriptedServer.response(request, 200, "", "{\"stage\":\"decode\",\"seq\":0}"));
            return;
        }
        out.write(ScriptedServer.streamHead(request));
        out.flush();
        try {
            TimeUnit.MILLISECONDS.sleep(WORK_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        out.write(ScriptedServer.eventChunk(1, "done"));
        out.write(ScriptedServer.lastChunk());
    }
}
