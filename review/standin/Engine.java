import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/** A model engine that processes one prompt at a time and generates several streams at a time. */
class Engine extends Backend {
    static final int SLOTS = 8;
    private static final long PREFILL_MILLIS_PER_1000_TOKENS = 33;
    private static final long EVENT_INTERVAL_MILLIS = 100;

    private final Semaphore prefill = new Semaphore(1, true);
    private final Semaphore slots = new Semaphore(SLOTS, true);
    private final AtomicInteger queued = new AtomicInteger();
    private final AtomicInteger open = new AtomicInteger();
    private final AtomicInteger handles = new AtomicInteger();

    Engine(String id, String service, String zone, String stage, String host, Store store, Record record)
            throws IOException {
        super(id, service, zone, stage, host, store, record);
    }

    @Override
    void handle(Http.Message request, Http.Connection connection) throws Exception {
        waiting = queued.get();
        running = open.get();
        if (request.method().equals("DELETE")) {
            connection.send(200, Map.of(), new byte[0]);
        } else if (!request.method().equals("POST") || request.path().equals("/order")) {
            super.handle(request, connection);
        } else if (!id.equals(request.header("Expect-Instance"))) {
            connection.send(421, Map.of("Instance-Id", id), new byte[0]);
        } else if (busyUntilNanos - System.nanoTime() > 0) {
            connection.send(503, Map.of("Not-Run", "1", "Request-Id", request.header("Request-Id")), new byte[0]);
        } else if ("prefill".equals(request.header("Serving-Stage"))) {
            process(request, connection);
        } else if ("prefill".equals(stage)) {
            connection.send(421, Map.of("Instance-Id", id), new byte[0]);
        } else {
            generate(request, connection);
        }
    }

    private int[] tokens(Http.Message request) {
        String[] counts = request.header("Token-Count").split(",");
        return new int[] {Integer.parseInt(counts[0].strip()), Integer.parseInt(counts[1].strip())};
    }

    private void process(Http.Message request, Http.Connection connection) throws Exception {
        await(prefill);
        open.incrementAndGet();
        try {
            Thread.sleep(tokens(request)[0] * PREFILL_MILLIS_PER_1000_TOKENS / 1000);
        } finally {
            open.decrementAndGet();
            prefill.release();
        }
        String handle = id + "-" + handles.incrementAndGet();
        connection.send(
                200,
                Map.of("Content-Type", "application/json", "Request-Id", request.header("Request-Id")),
                ("{\"kvHandle\":\"" + handle + "\",\"tokens\":" + tokens(request)[0] + ",\"version\":1}")
                        .getBytes(StandardCharsets.UTF_8));
    }

    private void await(Semaphore places) throws InterruptedException {
        queued.incrementAndGet();
        try {
            places.acquire();
        } finally {
            queued.decrementAndGet();
        }
    }

    private void generate(Http.Message request, Http.Connection connection) throws Exception {
        await(slots);
        open.incrementAndGet();
        try {
            if (request.header("Kv-Source") == null) {
                Thread.sleep(2 * tokens(request)[0] * PREFILL_MILLIS_PER_1000_TOKENS / 1000);
            }
            connection.write(("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRequest-Id: "
                            + request.header("Request-Id") + "\r\nServer-Stamp: stamp." + id
                            + "\r\nTransfer-Encoding: chunked\r\n\r\n")
                    .getBytes(StandardCharsets.ISO_8859_1));
            for (int event = 1; event <= tokens(request)[1]; event++) {
                String text = "id: " + event + "\ndata: t" + event + "\n\n";
                connection.write((Integer.toHexString(text.length()) + "\r\n" + text + "\r\n")
                        .getBytes(StandardCharsets.ISO_8859_1));
                Thread.sleep(EVENT_INTERVAL_MILLIS);
            }
            connection.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
        } finally {
            open.decrementAndGet();
            slots.release();
        }
    }
}
