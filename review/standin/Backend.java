import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A backend server, plain or a model engine (PROTOCOL.md, "Servers", "Prefill and decode"), which lists itself in the
 * store and answers each request with its whole body and its stamp.
 */
class Backend {
    static final int HEARTBEAT_MILLIS = 1_200;

    final String id;
    final String service;
    final String zone;
    final Store store;
    final Record record;
    final long born = System.currentTimeMillis();
    final Http.Server server;

    /** The stage of an engine; null for a plain server. */
    volatile String stage;

    volatile String state = "ready";
    volatile boolean listed = true;
    volatile int waiting;
    volatile int running;
    volatile long workMillis = 20;
    volatile long acceptedOrders;
    volatile long busyUntilNanos = System.nanoTime();

    /** Headers that it adds to all its answers. */
    volatile Map<String, String> extraHeaders = Map.of();

    private long sequence;

    Backend(String id, String service, String zone, String stage, String host, Store store, Record record)
            throws IOException {
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.stage = stage;
        this.store = store;
        this.record = record;
        this.server = new Http.Server(host, 0, this::handle);
        beat();
        Http.start(this::beatForever);
    }

    private void beatForever() {
        try {
            while (true) {
                Thread.sleep(HEARTBEAT_MILLIS);
                beat();
            }
        } catch (InterruptedException e) {
            // The process ends.
        }
    }

    /** Whether its writes reach the store. */
    volatile boolean reachesStore = true;

    /** Writes its entry. */
    synchronized void beat() {
        if (!listed || !reachesStore) {
            return;
        }
        sequence++;
        String engine = stage == null
                ? ""
                : ",\"stage\":\"" + stage + "\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}]";
        store.put(
                "keyed.servers",
                id,
                "{\"service\":\"" + service + "\",\"address\":\"" + server.address() + "\",\"zone\":\"" + zone
                        + "\",\"version\":\"v1\",\"slots\":64,\"state\":\"" + state + "\",\"coldRemainingMs\":0" + engine
                        + ",\"born\":" + born + ",\"seq\":" + sequence + "}");
    }

    void handle(Http.Message request, Http.Connection connection) throws Exception {
        String expected = request.header("Expect-Instance");
        if (expected != null && !expected.equals(id)) {
            connection.send(421, Map.of("Instance-Id", id), new byte[0]);
            return;
        }
        switch (request.path()) {
            case "/report" -> json(connection, report());
            case "/kv-events" -> json(connection, "{\"epoch\":\"" + born + "\",\"next\":0,\"lost\":false,\"events\":[]}");
            case "/health" -> connection.send(200, withExtra(Map.of("Instance-Id", id)), new byte[0]);
            case "/order" -> order(request, connection);
            default -> run(request, connection);
        }
    }

    private String report() {
        boolean busy = busyUntilNanos - System.nanoTime() > 0;
        return "{\"stage\":\"" + stage + "\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],\"busy\":" + busy
                + ",\"seq\":" + acceptedOrders + ",\"waiting\":" + waiting + ",\"running\":" + running
                + ",\"kvUsed\":1000,\"kvTotal\":508944,\"kvHandles\":0,\"next\":0,\"runs\":[]}";
    }

    /** Called with each order that the server accepts. */
    void onOrder(String stage, String holder, long fencingToken) {}

    private void order(Http.Message request, Http.Connection connection) throws IOException {
        String body = request.text();
        long expect = Long.parseLong(field(body, "expect"));
        long token = Long.parseLong(field(body, "fencingToken"));
        String holder = field(body, "holder");
        String wanted = field(body, "stage");
        int status;
        synchronized (this) {
            boolean busy = busyUntilNanos - System.nanoTime() > 0;
            if (busy || expect != acceptedOrders) {
                status = 409;
            } else if (wanted.equals(stage)) {
                status = 200;
            } else {
                status = 202;
                acceptedOrders++;
                stage = wanted;
                busyUntilNanos = System.nanoTime() + 3_000_000_000L;
            }
        }
        record.write("order server=" + id + " holder=" + holder + " number=" + token + " stage=" + wanted + " expect="
                + expect + " status=" + status);
        onOrder(wanted, holder, token);
        beat();
        connection.send(status, Map.of(), new byte[0]);
    }

    /** Returns a field of a flat JSON object. */
    static String field(String json, String name) {
        int at = json.indexOf("\"" + name + "\":") + name.length() + 3;
        String rest = json.substring(at).strip();
        return rest.startsWith("\"") ? rest.substring(1, rest.indexOf('"', 1)) : rest.split("[,}]")[0].strip();
    }

    /** Called when a request has begun to run. */
    void onRun(Http.Message request) {}

    private void run(Http.Message request, Http.Connection connection) throws Exception {
        String request_ = request.header("Request-Id");
        record.write("run server=" + id + " request=" + request_ + " bytes=" + request.body().length);
        onRun(request);
        Thread.sleep(workMillis);
        byte[] body = ("done " + request_ + " by " + id + "\n").getBytes(StandardCharsets.UTF_8);
        connection.send(200, withExtra(Map.of("Request-Id", request_, "Server-Stamp", "stamp." + id)), body);
    }

    Map<String, String> withExtra(Map<String, String> headers) {
        Map<String, String> all = new LinkedHashMap<>(headers);
        all.putAll(extraHeaders);
        return all;
    }

    private void json(Http.Connection connection, String text) throws IOException {
        connection.send(
                200,
                withExtra(Map.of("Content-Type", "application/json")),
                text.getBytes(StandardCharsets.UTF_8));
    }
}
