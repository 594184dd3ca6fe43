import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Rule ONE: the store comes back from a copy some seconds old, taken before the lease of the orders was claimed. The
 * next holder gets the generation number of the one before.
 */
final class TwoHolders {
    private static final int RELAYS = 3;

    /** The age of the copy from which the store comes back. */
    private static final long COPY_AGE_MILLIS = 6_000;

    /** How long the store is away. */
    private static final long AWAY_MILLIS = 1_000;

    private static final long LONG_PROMPTS_MILLIS = 12_000;
    private static final long LENGTH_MILLIS = 60_000;
    private static final long LEASE_MILLIS = 3_000;

    /** An order that a server received. */
    private record Order(long atMillis, String holder, long number) {}

    private static final Map<String, List<Order>> orders = new HashMap<>();
    private static final AtomicInteger answered = new AtomicInteger();
    private static final AtomicInteger sent = new AtomicInteger();

    public static void main(String[] args) {
        Fleet.exit(() -> run(args));
    }

    /** Returns 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
    private static int run(String[] args) throws Exception {
        Record record = new Record(Fleet.folder(args).resolve("record.txt"));
        Store store = new Store("127.0.0.1", record);
        store.put("keyed.op", "config", config());
        List<Backend> engines = new ArrayList<>();
        engines.add(engine("i-p1", "lhr-johar", "prefill", 1, store, record));
        for (int number = 2; number <= 6; number++) {
            engines.add(engine("i-d" + number, number <= 4 ? "lhr-gulberg" : "lhr-shahdara", "decode", number, store, record));
        }
        Relays relays = new Relays(Fleet.root(args), store.address(), record);
        int status;
        try {
            Map<String, List<byte[]>> copy = store.copy();
            long copied = record.millis();
            record.write("copy of the store taken");
            for (int number = 1; number <= RELAYS; number++) {
                relays.start(number);
            }
            relays.awaitReady(20_000);
            long begin = record.millis();
            Http.start(() -> consume(relays, record, begin));
            if (Fleet.trouble()) {
                Thread.sleep(Math.max(0, copied + COPY_AGE_MILLIS - record.millis()));
                store.leave();
                record.write("store away");
                Thread.sleep(AWAY_MILLIS);
                store.restore(copy);
                store.put("keyed.op", "config", config());
                store.comeBack();
                engines.forEach(Backend::beat);
                record.write("store back from the copy; the operator and the servers have written again");
            }
            Thread.sleep(Math.max(0, begin + LENGTH_MILLIS - record.millis()));
            record.write("requests sent=" + sent + " answered=" + answered);
            status = judge(record);
        } finally {
            relays.stop();
        }
        return status;
    }

    private static Engine engine(String id, String zone, String stage, int number, Store store, Record record)
            throws Exception {
        return new Engine(id, "skills", zone, stage, "127.0.2." + number, store, record) {
            @Override
            void onOrder(String wanted, String holder, long fencingToken) {
                synchronized (orders) {
                    orders.computeIfAbsent(id, key -> new ArrayList<>())
                            .add(new Order(record.millis(), holder, fencingToken));
                }
            }
        };
    }

    private static String config() {
        String route = "{\"name\":\"r-review\",\"host\":\"" + Fleet.HOST
                + "\",\"pathPrefix\":\"/review/\",\"kind\":\"streaming\",\"timeoutMs\":8000,\"targetLatencyMs\":800,"
                + "\"priority\":1,\"service\":\"skills\",\"maxAttempts\":2,\"stickySessions\":true,\"resumable\":true,"
                + "\"targetGapMs\":250}";
        String service = "{\"name\":\"skills\",\"healthPath\":\"/health\",\"maxConnections\":360,\"protocol\":\"h1\","
                + "\"tls\":false,\"engine\":{\"slots\":" + Engine.SLOTS
                + ",\"kvTokens\":508944,\"kvTokenBytes\":35136,\"linkMbps\":740000.0,\"stride\":5,\"most\":12,"
                + "\"handleTtlS\":5.0,\"roleSwitchS\":3.0,\"models\":[{\"name\":\"m\"}]}}";
        return Fleet.config(1, route, service);
    }

    /** Sends long prompts with short outputs first, then short prompts with long outputs. */
    private static void consume(Relays relays, Record record, long begin) {
        try {
            for (int number = 0; record.millis() < begin + LENGTH_MILLIS; number++) {
                boolean longPrompts = record.millis() < begin + LONG_PROMPTS_MILLIS;
                int tokens = longPrompts ? 3_000 : 60;
                int events = longPrompts ? 2 : 60;
                int id = number;
                String relay = relays.front(1 + number % RELAYS);
                sent.incrementAndGet();
                Http.start(() -> request(relay, "c" + id, tokens, events, record));
                Thread.sleep(longPrompts ? 30 : 80);
            }
        } catch (InterruptedException e) {
            // The process ends.
        }
    }

    private static void request(String relay, String id, int tokens, int events, Record record) {
        Map<String, String> headers = new HashMap<>(Fleet.headers(id, 8_000));
        headers.put("Model", "m");
        headers.put("Token-Count", tokens + "," + events);
        headers.put("Prompt-Prefix", Integer.toHexString(id.hashCode()) + ":" + tokens);
        try {
            Http.Message answer = Http.call(
                    relay, "POST", "/review/" + id, headers, "x".getBytes(StandardCharsets.UTF_8), 9_000);
            record.write("answer request=" + id + " status=" + answer.status());
            if (answer.status() == 200) {
                answered.incrementAndGet();
            }
        } catch (Exception e) {
            record.write("answer request=" + id + " none: " + e.getMessage());
        }
    }

    /** Returns 1 if a server received orders as rule ONE forbids them, 2 if there were too few orders, 0 otherwise. */
    private static int judge(Record record) {
        int all = 0;
        boolean broken = false;
        synchronized (orders) {
            for (Map.Entry<String, List<Order>> each : orders.entrySet()) {
                List<Order> received = each.getValue();
                all += received.size();
                for (int later = 1; later < received.size(); later++) {
                    for (int earlier = 0; earlier < later; earlier++) {
                        String why = conflict(received.get(earlier), received.get(later));
                        if (why != null) {
                            broken = true;
                            record.write("BROKEN ONE server=" + each.getKey() + " " + why + ": " + received.get(earlier)
                                    + " and " + received.get(later));
                        }
                    }
                }
            }
        }
        record.write("orders=" + all + " broken=" + broken);
        if (broken) {
            return 1;
        }
        return all < 2 ? 2 : 0;
    }

    private static String conflict(Order earlier, Order later) {
        if (earlier.holder().equals(later.holder())) {
            return later.number() < earlier.number() ? "a lower number after a higher one" : null;
        }
        if (earlier.number() == later.number()) {
            return "two holders with one number";
        }
        if (later.number() < earlier.number()) {
            return "a lower number after a higher one";
        }
        return later.atMillis() - earlier.atMillis() < LEASE_MILLIS ? "holders that take turns" : null;
    }
}
