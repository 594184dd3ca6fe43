import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicLong;

/** Rule DRAIN: a server says in all its answers that it leaves, while a machine is partitioned from the store. */
final class ServerLeaves {
    private static final long DRAIN_MILLIS = 2_000;
    private static final long CUT_MILLIS = 5_500;

    /** The time from the beginning of the cut until the server leaves. */
    private static final long LEAVE_AFTER_MILLIS = 300;

    /** How much longer than drainMs the server serves. */
    private static final long LITTLE_LONGER_MILLIS = 1_500;

    private static final long WORK_MILLIS = 150;
    private static final int REQUESTS = 240;
    private static final long INTERVAL_MILLIS = 50;

    /** When each request was sent, in milliseconds of the record. */
    private static final Map<String, Long> sentMillis = new ConcurrentHashMap<>();

    /** The requests that the leaving server ran. */
    private static final Set<String> runByLeaving = ConcurrentHashMap.newKeySet();

    /** The requests without a server's answer. */
    private static final Set<String> lost = ConcurrentHashMap.newKeySet();

    /** When a consumer first received an answer with Server-Leaving. */
    private static final AtomicLong firstPassedMillis = new AtomicLong(Long.MAX_VALUE);

    public static void main(String[] args) {
        Fleet.exit(() -> run(args));
    }

    /** Returns 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
    private static int run(String[] args) throws Exception {
        Record record = new Record(Fleet.folder(args).resolve("record.txt"));
        Store store = new Store("127.0.0.1", record);
        Proxy path = new Proxy("127.0.0.1", store.address());
        store.put(
                "keyed.op",
                "config",
                Fleet.config(1, Fleet.route("r-cert", "/cert/", "unsafe", "app", 1, 1_500), Fleet.service("app")));
        List<Backend> servers = new ArrayList<>();
        for (int number = 1; number <= 3; number++) {
            servers.add(server(number, store, record));
        }
        Backend leaving = servers.get(0);
        Relays relays = new Relays(Fleet.root(args), path.address(), record);
        try {
            relays.start(1);
            relays.awaitReady(20_000);
            Thread.sleep(1_000);
            CountDownLatch done = new CountDownLatch(REQUESTS);
            Http.start(() -> consume(relays, record, done));
            Thread.sleep(1_000);
            if (Fleet.trouble()) {
                path.setCut(true);
                record.write("the relay is partitioned from the store");
            }
            long begin = record.millis();
            Thread.sleep(LEAVE_AFTER_MILLIS);
            leaving.extraHeaders = Map.of("Server-Leaving", "1");
            leaving.state = "draining";
            leaving.beat();
            record.write("server=" + leaving.id + " leaves; the store has accepted its report");
            Thread.sleep(DRAIN_MILLIS + LITTLE_LONGER_MILLIS);
            leaving.listed = false;
            store.put("keyed.servers", leaving.id, "");
            leaving.server.close();
            record.write("server=" + leaving.id + " has ended");
            Thread.sleep(Math.max(0, begin + CUT_MILLIS - record.millis()));
            path.setCut(false);
            record.write("the relay reaches the store");
            done.await();
            return judge(record);
        } finally {
            relays.stop();
        }
    }

    private static Backend server(int number, Store store, Record record) throws Exception {
        Backend server = new Backend("i-app-" + number, "app", Relays.zone(number), null, "127.0.2." + number, store, record) {
            @Override
            void onRun(Http.Message request) {
                if (state.equals("draining")) {
                    runByLeaving.add(request.header("Request-Id"));
                }
            }
        };
        server.workMillis = WORK_MILLIS;
        return server;
    }

    private static void consume(Relays relays, Record record, CountDownLatch done) {
        try {
            for (int number = 0; number < REQUESTS; number++) {
                String id = "c" + number;
                Http.start(() -> {
                    send(relays, record, id);
                    done.countDown();
                });
                Thread.sleep(INTERVAL_MILLIS);
            }
        } catch (InterruptedException e) {
            // The process ends.
        }
    }

    private static void send(Relays relays, Record record, String id) {
        sentMillis.put(id, record.millis());
        record.write("send request=" + id);
        try {
            Http.Message answer = Http.call(
                    relays.front(1),
                    "POST",
                    "/cert/" + id,
                    Fleet.headers(id, 3_000),
                    "x".getBytes(StandardCharsets.ISO_8859_1),
                    4_000);
            if (answer.header("Server-Leaving") != null) {
                firstPassedMillis.accumulateAndGet(record.millis(), Math::min);
            }
            if (answer.header("Server-Stamp") == null) {
                lost.add(id);
            }
            record.write("answer request=" + id + " status=" + answer.status() + " Server-Leaving="
                    + answer.header("Server-Leaving") + " " + answer.text().strip());
        } catch (Exception e) {
            lost.add(id);
            record.write("answer request=" + id + " none: " + e.getMessage());
        }
    }

    private static int judge(Record record) {
        if (firstPassedMillis.get() == Long.MAX_VALUE) {
            record.write("no answer of the leaving server was passed on");
            return 2;
        }
        long bound = firstPassedMillis.get() + DRAIN_MILLIS;
        Set<String> late = new HashSet<>();
        for (String id : runByLeaving) {
            if (sentMillis.get(id) > bound) {
                late.add(id);
                record.write("BROKEN DRAIN request=" + id + " was sent at " + sentMillis.get(id)
                        + " and ran at the leaving server; the bound was " + bound);
            }
        }
        Set<String> lateAndLost = new HashSet<>(late);
        lateAndLost.retainAll(lost);
        record.write("first answer with Server-Leaving at " + firstPassedMillis + "; requests sent over drainMs later that"
                + " reached the server=" + late.size() + ", of these without its answer=" + lateAndLost.size());
        return late.isEmpty() ? 0 : 1;
    }
}
