import java.io.BufferedInputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Rule CONFIG (answers by timeoutMs), and a process that hangs: many consumers come at once and read their answers some
 * seconds later.
 */
final class SlowReaders {
    private static final int ANSWER_BYTES = 1_000_000;
    private static final int CONSUMERS = 150;
    private static final long CONSUMER_INTERVAL_MILLIS = 20;

    /** The time from a request until its consumer reads the answer. */
    private static final long READ_PAUSE_MILLIS = 5_000;

    /** The receive buffer of a consumer, a small window. */
    private static final int WINDOW_BYTES = 4_096;

    private static final long TIMEOUT_MILLIS = 1_500;
    private static final long SLACK_MILLIS = 500;
    private static final long GRACE_MILLIS = 8_000;

    /** The time from the last of these answers to the first request that is judged. */
    private static final long CALM_AFTER_MILLIS = 8_000;

    private static final int JUDGED = 100;
    private static final long USUAL_INTERVAL_MILLIS = 30;

    public static void main(String[] args) {
        Fleet.exit(() -> run(args));
    }

    /** Returns 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
    private static int run(String[] args) throws Exception {
        Record record = new Record(Fleet.folder(args).resolve("record.txt"));
        Store store = new Store("127.0.0.1", record);
        String routes = Fleet.route("r-cert", "/cert/", "unsafe", "app", 1, TIMEOUT_MILLIS) + ","
                + Fleet.route("r-file", "/file/", "safe", "app", 1, 3_000);
        store.put("keyed.op", "config", Fleet.config(1, routes, Fleet.service("app")));
        byte[] large = new byte[ANSWER_BYTES];
        for (int number = 1; number <= 3; number++) {
            new Backend("i-app-" + number, "app", Relays.zone(number), null, "127.0.2." + number, store, record) {
                @Override
                void handle(Http.Message request, Http.Connection connection) throws Exception {
                    if (request.path().startsWith("/file/") && id.equals(request.header("Expect-Instance"))) {
                        String request_ = request.header("Request-Id");
                        record.write("run server=" + id + " request=" + request_);
                        connection.send(200, Map.of("Request-Id", request_, "Server-Stamp", "stamp." + id), large);
                        return;
                    }
                    super.handle(request, connection);
                }
            };
        }
        Relays relays = new Relays(Fleet.root(args), store.address(), record);
        try {
            relays.start(1);
            relays.awaitReady(20_000);
            Unanswered before = small(relays, record, "before", 50);
            Thread usual = Http.start(() -> usual(relays, record));
            read(relays, record);
            usual.interrupt();
            record.write("the last large answer has ended");
            Thread.sleep(CALM_AFTER_MILLIS);
            Unanswered after = small(relays, record, "after", JUDGED);
            boolean ready = relays.isReady(1);
            relays.process(1).destroy();
            boolean ended = relays.process(1).waitFor(GRACE_MILLIS + 2_000, TimeUnit.MILLISECONDS);
            record.write("requests=" + JUDGED + " unanswered at timeoutMs=" + after.atTimeout() + ", " + SLACK_MILLIS
                    + " ms later=" + after.later() + "; ready=" + ready + "; ends after SIGTERM=" + ended);
            return before.atTimeout() > 0 ? 2 : 2 * after.later() > after.atTimeout() ? 1 : 0;
        } finally {
            relays.stop();
        }
    }

    /** The numbers of requests without an answer at their route's timeout, and half a second after it. */
    private record Unanswered(int atTimeout, int later) {}

    /** Sends small requests and returns how many have no answer in time. */
    private static Unanswered small(Relays relays, Record record, String name, int count) throws Exception {
        AtomicInteger atTimeout = new AtomicInteger();
        AtomicInteger later = new AtomicInteger();
        CountDownLatch done = new CountDownLatch(count);
        for (int number = 0; number < count; number++) {
            String id = name + number;
            Http.start(() -> {
                long millis = send(relays, record, id);
                atTimeout.addAndGet(millis >= 0 && millis < TIMEOUT_MILLIS ? 0 : 1);
                later.addAndGet(millis >= 0 ? 0 : 1);
                done.countDown();
            });
            Thread.sleep(100);
        }
        done.await();
        return new Unanswered(atTimeout.get(), later.get());
    }

    /**
     * Sends a small request and returns after how many milliseconds it was answered; -1 if it has no answer half a second
     * after its route's timeout.
     */
    private static long send(Relays relays, Record record, String id) {
        long begin = record.millis();
        String outcome;
        try {
            Http.Message answer = Http.call(
                    relays.front(1),
                    "POST",
                    "/cert/" + id,
                    Fleet.headers(id, 3_000),
                    "x".getBytes(StandardCharsets.ISO_8859_1),
                    (int) (TIMEOUT_MILLIS + SLACK_MILLIS));
            outcome = "status=" + answer.status();
        } catch (Exception e) {
            outcome = "none: " + e.getMessage();
        }
        long millis = record.millis() - begin;
        record.write("answer request=" + id + " " + outcome + " after_ms=" + millis);
        return outcome.startsWith("none") ? -1 : millis;
    }

    /** Sends small requests, as other consumers do meanwhile; they are not judged. */
    private static void usual(Relays relays, Record record) {
        try {
            for (int number = 0; true; number++) {
                String id = "usual" + number;
                Http.start(() -> send(relays, record, id));
                Thread.sleep(USUAL_INTERVAL_MILLIS);
            }
        } catch (InterruptedException e) {
            // The large answers have ended.
        }
    }

    /** Asks for the large answers; their consumers read them later, or at once without the disruption. */
    private static void read(Relays relays, Record record) throws Exception {
        CountDownLatch done = new CountDownLatch(CONSUMERS);
        for (int number = 0; number < CONSUMERS; number++) {
            String id = "file" + number;
            Http.start(() -> {
                String outcome;
                try {
                    outcome = readOne(relays, id);
                } catch (Exception e) {
                    outcome = "none: " + e.getMessage();
                }
                record.write("answer request=" + id + " " + outcome);
                done.countDown();
            });
            Thread.sleep(CONSUMER_INTERVAL_MILLIS);
        }
        done.await();
    }

    private static String readOne(Relays relays, String id) throws Exception {
        String[] address = relays.front(1).split(":");
        try (Socket socket = new Socket()) {
            socket.setReceiveBufferSize(WINDOW_BYTES);
            socket.connect(new InetSocketAddress(address[0], Integer.parseInt(address[1])), 1_000);
            socket.setSoTimeout(10_000);
            socket.getOutputStream()
                    .write(("GET /file/" + id + " HTTP/1.1\r\nHost: " + Fleet.HOST + "\r\nRequest-Id: " + id
                                    + "\r\nDeadline-Ms: 10000\r\n\r\n")
                            .getBytes(StandardCharsets.ISO_8859_1));
            Thread.sleep(Fleet.trouble() ? READ_PAUSE_MILLIS : 0);
            Http.Message answer = Http.read(new BufferedInputStream(socket.getInputStream()));
            if (answer == null) {
                throw new java.io.IOException("closed without an answer");
            }
            return "status=" + answer.status() + " bytes=" + answer.body().length;
        }
    }
}
