package org.verbenatray.platform;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import org.testng.Assert;
import org.verbenatray.instance.EventLoop;
import org.verbenatray.instance.RelayInstance;
import org.verbenatray.relay.RelayDialect;
import org.verbenatray.time.Ticker;

/** A relay instance with a fake store, on ports chosen by the OS. */
final class RelayFixture implements AutoCloseable {
    /** The timeout of waits and of socket reads in nanoseconds. */
    private static final long AWAIT_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(20);

    private final FakeStore store;

    private final RelayInstance instance;

    private RelayFixture(FakeStore store, RelayInstance instance) {
        this.store = store;
        this.instance = instance;
    }

    /** Starts an instance with an empty store. */
    static RelayFixture startWithEmptyStore() throws IOException {
        return start(FakeStore.start());
    }

    /** Starts an instance with the given store, which is closed with the fixture. */
    static RelayFixture start(FakeStore store) throws IOException {
        return new RelayFixture(store, startInstance(store.address(), "m1"));
    }

    /** Starts an instance with the given name that reaches the store at an address. */
    static RelayInstance startInstance(String storeAddress, String name) throws IOException {
        return startWithSettings(settingsText(storeAddress).replace("nodeName=m1", "nodeName=" + name));
    }

    private static RelayInstance startWithSettings(String text) throws IOException {
        Path settings = Files.createTempFile("machine", ".conf");
        Files.writeString(settings, text);
        RelayInstance instance = RelayLauncher.start(settings, 0);
        Files.delete(settings);
        return instance;
    }

    /** Starts an instance with routes and the given servers, and waits until it is ready. */
    static RelayFixture startReady(ServerListing... servers) throws Exception {
        return startReady(PlatformProtocol.create(), "4", servers);
    }

    /** Starts an instance with a translation of its own, routes and servers, and waits until it is ready. */
    static RelayFixture startReady(RelayDialect dialect, ServerListing... servers) throws Exception {
        return startReady(dialect, "4", servers);
    }

    /** Starts an instance on an event loop of its own, with routes and servers, and waits until it is ready. */
    static RelayFixture startReady(EventLoop loop, ServerListing... servers) throws Exception {
        return startReady(loop, PlatformProtocol.create(), "4", servers);
    }

    /** Starts an instance on an event loop and with a translation of its own, and waits until it is ready. */
    static RelayFixture startReady(EventLoop loop, RelayDialect dialect, ServerListing... servers) throws Exception {
        return startReady(loop, dialect, "4", servers);
    }

    private static RelayFixture startReady(RelayDialect dialect, String retryRatio, ServerListing... servers)
            throws Exception {
        return startReady(EventLoop.start(Ticker.system()), dialect, retryRatio, servers);
    }

    private static RelayFixture startReady(
            EventLoop loop, RelayDialect dialect, String retryRatio, ServerListing... servers) throws Exception {
        return startReady(loop, dialect, text -> text.replace("budgetRatio=4", "budgetRatio=" + retryRatio), servers);
    }

    private static RelayFixture startReady(
            EventLoop loop, RelayDialect dialect, UnaryOperator<String> settingsChange, ServerListing... servers)
            throws Exception {
        FakeStore store = FakeStore.start();
        store.put("keyed.op", "config", configurationJson(1));
        for (ServerListing listed : servers) {
            store.put("keyed.servers", listed.id(), listed.entryJson("ready", 1));
        }
        String settings = settingsChange.apply(settingsText(store.address()));
        RelayInstance started =
                RelayLauncher.launch(SettingsFile.parse(settings).toPlatformSettings(), 0, loop, dialect);
        RelayFixture relay = new RelayFixture(store, started);
        relay.await(relay.instance()::isReady);
        return relay;
    }

    /** Starts an instance that is given some seconds to stop, with routes and servers, and waits until it is ready. */
    static RelayFixture startReadyWithGrace(int graceSeconds, ServerListing... servers) throws Exception {
        return startReady(
                EventLoop.start(Ticker.system()),
                PlatformProtocol.create(),
                text -> text.replace("graceS=8", "graceS=" + graceSeconds),
                servers);
    }

    /** Starts an instance that may send the given number of retries per request, and waits until it is ready. */
    static RelayFixture startReadyWithRetryRatio(String ratio, ServerListing... servers) throws Exception {
        return startReady(PlatformProtocol.create(), ratio, servers);
    }

    /** Returns the text of a settings file with the given store address. */
    static String settingsText(String store) {
        return "nodeName=m1\nzone=z1\nlisten.front=127.0.0.1:0\nlisten.ready=127.0.0.1:0\n"
                + "internalPorts=0,0\nplatform.address="
                + store
                + "\nbounds.graceS=8\nbounds.drainMs=300\nbounds.configApplyMs=2000\nbounds.budgetRatio=4\n"
                + "bounds.budgetWindowS=10\nbootstrap=true\nunknown.key=1\n";
    }

    /** Returns a configuration with one route of each kind. */
    static String configurationJson(long version) {
        return "{\"version\":" + version + ",\"routes\":["
                + routeJson("safe", "safe", 2, false, "plain") + ","
                + routeJson("unsafe", "unsafe", 1, false, "plain") + ","
                + routeJson("stream", "streaming", 1, false, "engines") + ","
                + routeJson("resume", "streaming", 2, true, "engines") + ","
                + routeJson("begin", "streaming", 1, true, "engines")
                + "],\"services\":[{\"name\":\"plain\",\"healthPath\":\"/health\",\"maxConnections\":96},"
                + "{\"name\":\"engines\",\"maxConnections\":96,\"engine\":{\"slots\":64,\"kvTokens\":500000,"
                + "\"handleTtlS\":5.0}}],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":100000,"
                + "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";
    }

    /** Returns one route of a configuration. */
    static String routeJson(String prefix, String kind, int attempts, boolean resumable, String service) {
        return "{\"name\":\"r-" + prefix + "\",\"host\":\"h.example\",\"pathPrefix\":\"/" + prefix + "/\",\"kind\":\""
                + kind + "\",\"timeoutMs\":4000,\"targetLatencyMs\":400,\"priority\":1,\"service\":\"" + service
                + "\",\"maxAttempts\":" + attempts + ",\"resumable\":" + resumable + "}";
    }

    /** Returns the store. */
    FakeStore store() {
        return store;
    }

    /** Returns the instance. */
    RelayInstance instance() {
        return instance;
    }

    /** Writes the operator's configuration to the store. */
    void putConfiguration(long version, String text) {
        store.put("keyed.op", "config", text);
    }

    /** Writes a ready entry of a server to the store. */
    void putReadyServer(ServerListing listed) {
        store.put("keyed.servers", listed.id(), listed.entryJson("ready", 1));
    }

    /** Returns whether the instance lists the server with the given id as leaving. */
    boolean isLeaving(String id) {
        return isLeaving(instance, id);
    }

    /** Returns whether an instance lists the server with the given id as leaving. */
    static boolean isLeaving(RelayInstance instance, String id) {
        return instance.readState().join().backends().stream()
                .anyMatch(backend -> backend.boot().startsWith(id + "@") && backend.leaving());
    }

    /** Opens a connection to the callers' port. */
    Socket connect() throws IOException {
        return connect(instance);
    }

    /** Opens a connection to the callers' port of an instance. */
    static Socket connect(RelayInstance to) throws IOException {
        Socket socket = new Socket("127.0.0.1", to.server().callersAddress().getPort());
        socket.setSoTimeout((int) TimeUnit.NANOSECONDS.toMillis(AWAIT_TIMEOUT_NANOS));
        return socket;
    }

    /** Sends text on a connection. */
    static void send(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
    }

    /** Returns a request with a body. */
    static String postRequest(String path, String id, String extraHeaders, String body) {
        return "POST " + path + " HTTP/1.1\r\nHost: h.example\r\nRequest-Id: " + id + "\r\nDeadline-Ms: 3000\r\n"
                + extraHeaders + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }

    /** Returns a request without a body. */
    static String getRequest(String path, String id) {
        return "GET " + path + " HTTP/1.1\r\nHost: h.example\r\nRequest-Id: " + id + "\r\nDeadline-Ms: 3000\r\n\r\n";
    }

    /** Sends one request on a new connection and returns the bytes of its response. */
    String exchange(String request) throws IOException {
        return exchange(instance, request);
    }

    /** Sends one request on a new connection to an instance and returns the bytes of its response. */
    static String exchange(RelayInstance to, String request) throws IOException {
        try (Socket socket = connect(to)) {
            send(socket, request);
            return readResponse(new BufferedInputStream(socket.getInputStream()));
        }
    }

    /** Sends one request to an instance on a new connection from a local address and returns its response. */
    static String exchangeFrom(String sourceAddress, RelayInstance to, String request) throws IOException {
        int port = to.server().callersAddress().getPort();
        try (Socket socket = new Socket("127.0.0.1", port, InetAddress.getByName(sourceAddress), 0)) {
            socket.setSoTimeout((int) TimeUnit.NANOSECONDS.toMillis(AWAIT_TIMEOUT_NANOS));
            send(socket, request);
            return readResponse(new BufferedInputStream(socket.getInputStream()));
        }
    }

    /** Reads one response up to its length, its last chunk, or the end of the connection. */
    static String readResponse(InputStream in) throws IOException {
        StringBuilder text = new StringBuilder();
        int length = -1;
        while (true) {
            int next = in.read();
            if (next < 0) {
                return text.append("<closed>").toString();
            }
            text.append((char) next);
            if (length < 0 && text.toString().endsWith("\r\n\r\n") && text.indexOf("content-length") < 0) {
                length = contentLength(text.toString());
                if (length >= 0) {
                    return text + new String(in.readNBytes(length), StandardCharsets.ISO_8859_1);
                }
                length = -1;
            }
            if (text.toString().endsWith("\r\n0\r\n\r\n")) {
                return text.toString();
            }
        }
    }

    private static int contentLength(String head) {
        for (String line : head.split("\r\n")) {
            if (line.toLowerCase(Locale.ROOT).startsWith("content-length:")) {
                return Integer.parseInt(line.substring(15).trim());
            }
        }
        return -1;
    }

    /**
     * Returns after the instance has handled what its connections had received before the call: requests on two new
     * connections have passed through its one thread after it.
     */
    void passIoRounds() throws IOException {
        for (int round = 0; round < 2; round++) {
            exchange(getRequest("/no-such-route", "round" + round));
        }
    }

    /** Waits until a condition holds; fails after the default timeout. */
    void await(Callable<Boolean> condition) throws Exception {
        waitUntil(condition);
    }

    /** Waits until a condition holds; fails after the given time in seconds. */
    void await(Callable<Boolean> condition, long seconds) throws Exception {
        waitUntil(condition, seconds);
    }

    /** Waits until a condition holds; fails after the default timeout. */
    static void waitUntil(Callable<Boolean> condition) throws Exception {
        waitUntil(condition, TimeUnit.NANOSECONDS.toSeconds(AWAIT_TIMEOUT_NANOS));
    }

    /** Waits until a condition holds; fails after the given time in seconds. */
    static void waitUntil(Callable<Boolean> condition, long seconds) throws Exception {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
        while (!condition.call()) {
            Assert.assertTrue(System.nanoTime() < until, "the condition did not become true in time");
            TimeUnit.MILLISECONDS.sleep(5);
        }
    }

    /** Waits until all of the given instances are ready and exchange their work with one another. */
    static void waitUntilConnected(List<RelayInstance> instances) throws Exception {
        for (RelayInstance instance : instances) {
            waitUntil(() -> instance.isReady() && instance.readState().get().peers() == instances.size() - 1);
        }
    }

    @Override
    public void close() {
        instance.close();
        store.close();
    }

    /**
     * A backend server to list in the store.
     *
     * @param id its id
     * @param service its service
     * @param address its address as host:port
     * @param stage its stage; empty for a plain server
     * @param startNumber the number of its start
     * @param version the version of its software
     */
    record ServerListing(String id, String service, String address, String stage, long startNumber, String version) {
        /** Creates a listing of software version v1. */
        ServerListing(String id, String service, String address, String stage, long startNumber) {
            this(id, service, address, stage, startNumber, "v1");
        }

        /** Returns a server of the plain service. */
        static ServerListing plain(String id, ScriptedServer server) {
            return new ServerListing(id, "plain", server.address(), "", 1);
        }

        /** Returns an engine of a stage. */
        static ServerListing engine(String id, String stage, ScriptedServer server) {
            return new ServerListing(id, "engines", server.address(), stage, 1);
        }

        /** Returns this listing with another software version. */
        ServerListing withVersion(String other) {
            return new ServerListing(id, service, address, stage, startNumber, other);
        }

        /** Returns the JSON entry with the given state and sequence number. */
        String entryJson(String state, long sequence) {
            return "{\"service\":\"" + service + "\",\"address\":\"" + address
                    + "\",\"zone\":\"z1\",\"version\":\"" + version + "\",\"slots\":6,\"state\":\"" + state
                    + "\",\"coldRemainingMs\":0," + (stage.isEmpty() ? "" : "\"stage\":\"" + stage + "\",")
                    + "\"born\":" + startNumber + ",\"seq\":" + sequence + "}";
        }
    }
}
