package org.verbenatray.platform;

import java.io.IOException;
import java.io.OutputStream;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;
import java.net.Socket;
import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.verbenatray.instance.EventLoop;
import org.verbenatray.instance.RelayInstance;
import org.verbenatray.platform.RelayFixture.ServerListing;
import org.verbenatray.platform.ScriptedServer.Request;
import org.verbenatray.platform.ScriptedServer.Script;
import org.verbenatray.relay.RelayDialect;
import org.verbenatray.servers.ConnectionUse;
import org.verbenatray.servers.HttpCall;
import org.verbenatray.time.Ticker;

/** Instances that can be partitioned from all backend servers, while they reach the store, callers and each other. */
final class PartitionableFleet implements AutoCloseable {
    private static final int ENGINES = 4;

    /** An address at which nothing listens. */
    private static final String UNUSED_ADDRESS = "127.0.0.1:1";

    /** The time for which an engine works on a request, in milliseconds. */
    private static final long WORK_MILLIS = 200;

    private final AtomicInteger requestNumber = new AtomicInteger();
    private final FakeStore store;
    private final List<ScriptedServer> engines = new ArrayList<>();
    private final List<RelayInstance> instances = new ArrayList<>();
    private final List<EventLoop> loops = new ArrayList<>();
    private final ExecutorService callers = Executors.newCachedThreadPool();

    /** Accepts connections and never answers, as a peer behind a partition. */
    private final ScriptedServer silence;

    /** The only server of the plain service. */
    private final ScriptedServer plainServer;

    /** Serves the generation requests of all engines. */
    private volatile Script generation = PartitionableFleet::generate;

    /** Whether the servers refuse new connections of each instance, while kept ones live on. */
    private volatile boolean[] refusedNewConnections;

    /** Whether the plain server refuses the connections of each instance. */
    private volatile boolean[] refusedByPlainServer;

    /** Whether each instance is partitioned from the engines. */
    private volatile boolean[] partitioned;

    private PartitionableFleet(int instanceCount) throws IOException {
        partitioned = new boolean[instanceCount];
        refusedNewConnections = new boolean[instanceCount];
        refusedByPlainServer = new boolean[instanceCount];
        silence = ScriptedServer.start((request, connection, out) -> {});
        store = FakeStore.startOnPorts(instanceCount);
        store.put("keyed.op", "config", RelayFixture.configurationJson(1));
        plainServer =
                ScriptedServer.start((request, connection, out) -> out.write(ScriptedServer.okResponse(request, "ok")));
        ServerListing plain = ServerListing.plain("p0", plainServer);
        store.put("keyed.servers", plain.id(), plain.entryJson("ready", 1));
        for (int number = 0; number < ENGINES; number++) {
            ScriptedServer engine = ScriptedServer.start(this::serve);
            engines.add(engine);
            ServerListing listing = ServerListing.engine("e" + number, "decode", engine);
            store.put("keyed.servers", listing.id(), listing.entryJson("ready", 1));
        }
        for (int number = 0; number < instanceCount; number++) {
            instances.add(startInstance(number));
        }
    }

    /** Starts the given number of instances and waits until they are connected. */
    static PartitionableFleet start(int instanceCount) throws Exception {
        PartitionableFleet fleet = new PartitionableFleet(instanceCount);
        RelayFixture.waitUntilConnected(fleet.instances);
        return fleet;
    }

    /** Returns an instance. */
    RelayInstance instance(int number) {
        return instances.get(number);
    }

    /** Returns the event loop of an instance. */
    EventLoop loop(int number) {
        return loops.get(number);
    }

    /** Returns the engines. */
    List<ScriptedServer> engines() {
        return engines;
    }

    /** Returns the requests for generation that engines have received under an id. */
    List<Request> arrivals(String id) {
        return engines.stream()
                .flatMap(engine -> engine.requests().stream())
                .filter(request -> request.line().startsWith("POST"))
                .filter(request -> request.header("request-id").equals(id))
                .toList();
    }

    /** Replaces how engines serve requests for generation. */
    void setGeneration(Script script) {
        generation = script;
    }

    /** Makes an instance partitioned from all servers, or ends that. */
    void partition(int instance, boolean value) {
        boolean[] changed = partitioned.clone();
        changed[instance] = value;
        partitioned = changed;
    }

    /** Makes all servers refuse new connections of an instance, or ends that. */
    void refuseNewConnections(int instance, boolean value) {
        boolean[] changed = refusedNewConnections.clone();
        changed[instance] = value;
        refusedNewConnections = changed;
    }

    /** Makes the plain server refuse all connections of an instance, or ends that. */
    void refuseByPlainServer(int instance, boolean value) {
        boolean[] changed = refusedByPlainServer.clone();
        changed[instance] = value;
        refusedByPlainServer = changed;
    }

    /** Returns the plain server. */
    ScriptedServer plainServer() {
        return plainServer;
    }

    /** Replaces the operator's configuration and waits until it is in force at all instances. */
    void putConfiguration(long version, String text) throws Exception {
        store.put("keyed.op", "config", text);
        for (RelayInstance instance : instances) {
            RelayFixture.waitUntil(() -> instance.readState().join().routesVersion() == version);
        }
    }

    /** Sends a request to an instance without waiting for its answer, and pauses briefly. */
    void call(int instance, String request) throws InterruptedException {
        callers.submit(() -> RelayFixture.exchange(instances.get(instance), request));
        TimeUnit.MILLISECONDS.sleep(20);
    }

    /** Waits until an instance is not ready, while another one is called. */
    void awaitNotReady(int instance, int other) throws Exception {
        RelayFixture.waitUntil(() -> {
            call(other, request("/resume/x"));
            return !instances.get(instance).isReady();
        });
    }

    /** Returns a request with an id of its own. */
    String request(String path) {
        return request(path, "id" + requestNumber.incrementAndGet());
    }

    /** Returns a request with the given id. */
    static String request(String path, String id) {
        return RelayFixture.postRequest(path, id, "Token-Count: 35,5\r\n", "body of " + id);
    }

    @Override
    public void close() throws IOException {
        callers.shutdownNow();
        instances.forEach(RelayInstance::close);
        for (ScriptedServer engine : engines) {
            engine.close();
        }
        plainServer.close();
        silence.close();
        store.close();
    }

    private RelayInstance startInstance(int number) {
        String settings =
                RelayFixture.settingsText(store.address(number)).replace("nodeName=m1", "nodeName=m" + number);
        EventLoop loop = EventLoop.start(Ticker.system());
        loops.add(loop);
        return RelayLauncher.launch(SettingsFile.parse(settings).toPlatformSettings(), 0, loop, partitionable(number));
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
                        boolean toServer = !called.getName().equals("forwardToInstance");
                        return toServer && result instanceof HttpCall call ? redirect(instance, call) : result;
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
        if (refusedByPlainServer[instance] && call.address().getAuthority().equals(plainServer.address())) {
            return withAddress(call, UNUSED_ADDRESS, "/refused");
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
                call.pool() + pool,
                call.requestId(),
                call.purpose());
    }

    private void serve(Request request, Socket connection, OutputStream out) throws IOException {
        if (request.line().startsWith("GET")) {
            out.write(ScriptedServer.response(request, 200, "", "{\"stage\":\"decode\",\"seq\":0}"));
        } else {
            generation.serve(request, connection, out);
        }
    }

    private static void generate(Request request, Socket connection, OutputStream out) throws IOException {
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
